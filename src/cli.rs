//! Command-line arguments of the operators' client.

use std::net;
use std::path;
use std::time;

use bpaf::Bpaf;
use bpaf::Parser;
use compact_str::CompactString;

use crate::exit;
use crate::id;

const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Column at which help and usage errors are wrapped.
const MESSAGE_COLUMNS: usize = 100;

/// A command of the operators' client with its arguments.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(
    options,
    version,
    descr("Checks and applies the declarative file of a mangotray system and shows its state."),
    footer(
        "Exit codes: 0 success, 1 general error, 2 wrong usage, 3 invalid file, 4 conflict, \
         5 unreachable, 6 degraded, 7 outcome unknown. For shell completion evaluate the output \
         of `mangotray --bpaf-complete-style-bash` (or -zsh, -fish, -elvish)."
    )
)]
pub enum Command {
    /// Check a file and print all its errors
    #[bpaf(command)]
    Check(#[bpaf(external(check))] Check),
    /// Show what applying a file would change
    #[bpaf(command)]
    Diff(#[bpaf(external(diff))] Diff),
    /// Put a file in force
    #[bpaf(command)]
    Apply(#[bpaf(external(apply))] Apply),
    /// Show the state of all proxies and groups
    #[bpaf(command)]
    Status(#[bpaf(external(status))] Status),
    /// Explain how statements are classified and where they run
    #[bpaf(command)]
    Explain(#[bpaf(external(explain))] Explain),
    /// Show the log lines of one request, with the events that explain its outcome
    #[bpaf(command)]
    Trace(#[bpaf(external(trace))] Trace),
}

/// Arguments of `mangotray check`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct Check {
    /// Operators' file
    #[bpaf(external(file))]
    pub file: path::PathBuf,
}

/// Arguments of `mangotray diff`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct Diff {
    /// Address of the platform's service.
    #[bpaf(external(platform))]
    pub platform: net::SocketAddr,
    /// Longest wait for one call to the platform.
    #[bpaf(external(timeout))]
    pub timeout: time::Duration,
    /// Operators' file.
    #[bpaf(external(file))]
    pub file: path::PathBuf,
}

/// Arguments of `mangotray apply`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct Apply {
    /// Address of the platform's service.
    #[bpaf(external(platform))]
    pub platform: net::SocketAddr,
    /// Longest wait for one call to the platform.
    #[bpaf(external(timeout))]
    pub timeout: time::Duration,
    /// Revision that the file is based on, as printed by `diff`; any other in force is a conflict
    #[bpaf(argument("REVISION"), optional)]
    pub base: Option<id::Revision>,
    /// Name of the operator, shown to other operators (default $USER)
    #[bpaf(argument("NAME"), optional)]
    pub by: Option<CompactString>,
    /// Operators' file.
    #[bpaf(external(file))]
    pub file: path::PathBuf,
}

/// Arguments of `mangotray status`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct Status {
    /// Address of the platform's service; not needed when admin addresses are given.
    #[bpaf(external(platform), optional)]
    pub platform: Option<net::SocketAddr>,
    /// Admin address of a proxy to query as well; may be used without --platform
    #[bpaf(argument("IP:PORT"))]
    pub admin: Vec<net::SocketAddr>,
    /// Longest wait for one answer.
    #[bpaf(external(timeout))]
    pub timeout: time::Duration,
    /// Print JSON
    pub json: bool,
}

/// Arguments of `mangotray explain`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct Explain {
    /// Database name that the caller connects to
    #[bpaf(argument("NAME"))]
    pub database: String,
    /// Operators' file, to show the age of data that reads accept
    #[bpaf(argument("FILE"), optional)]
    pub file: Option<path::PathBuf>,
    /// Statements, as a caller would send them
    #[bpaf(positional("SQL"))]
    pub sql: String,
}

/// Arguments of `mangotray trace`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct Trace {
    /// Id that the caller gave to the request
    #[bpaf(positional("REQUEST"))]
    pub request: String,
    /// Log files with one JSON object a line; the last word before it is shown as the node
    #[bpaf(positional("LOG"))]
    pub logs: Vec<path::PathBuf>,
}

fn file() -> impl Parser<path::PathBuf> {
    bpaf::positional("FILE")
        .help("Operators' file")
        .complete_shell(bpaf::ShellComp::File { mask: None })
}

fn platform() -> impl Parser<net::SocketAddr> {
    bpaf::long("platform")
        .help("Address of the platform's key-value service")
        .argument("IP:PORT")
}

fn timeout() -> impl Parser<time::Duration> {
    bpaf::long("timeout")
        .help("Longest wait for one answer, such as 500ms or 5s (default 5s)")
        .argument::<String>("TIME")
        .parse(|text| humantime::parse_duration(&text))
        .fallback(DEFAULT_TIMEOUT)
}

/// The parser with its help texts.
///
/// ```
/// use mangotray::cli;
/// let parsed = cli::options().run_inner(&["check", "system.ini"]).unwrap();
/// assert_eq!(parsed, cli::Command::Check(cli::Check { file: "system.ini".into() }));
/// ```
#[must_use]
pub fn options() -> bpaf::OptionParser<Command> {
    command()
}

/// Parses the arguments of the process; prints help, the version and usage errors.
///
/// # Errors
/// Exit code, when help or the version was printed or the arguments are wrong.
///
/// ```no_run
/// use mangotray::{cli, exit};
/// let parsed = cli::parse(&cli::options());
/// assert_eq!(parsed, Err(exit::Code::Usage));
/// ```
pub fn parse<T>(options: &bpaf::OptionParser<T>) -> Result<T, exit::Code> {
    options
        .run_inner(bpaf::Args::current_args())
        .map_err(|failure| {
            failure.print_message(MESSAGE_COLUMNS);
            match failure {
                bpaf::ParseFailure::Stderr(_) => exit::Code::Usage,
                bpaf::ParseFailure::Stdout(..) | bpaf::ParseFailure::Completion(_) => {
                    exit::Code::Success
                }
            }
        })
}

#[cfg(test)]
mod tests;
