//! Command-line arguments of the daemon.

use std::path;

use bpaf::Parser;
use compact_str::CompactString;

use crate::settings;

/// Command line of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Launch {
    /// Path of the settings file.
    pub settings: path::PathBuf,
    /// Whether to check the settings and exit.
    pub check: bool,
    /// Values that override those of the settings file.
    pub overrides: Vec<settings::Override>,
}

/// Returns the parser with its help texts.
///
/// ```
/// use mangotray::launch;
/// let parsed = launch::options().run_inner(&["--settings", "vm.ini", "--name", "v2"]).unwrap();
/// assert_eq!(parsed.overrides[0].value, "v2");
/// ```
#[must_use]
pub fn options() -> bpaf::OptionParser<Launch> {
    let settings = bpaf::long("settings")
        .help("Settings file of this VM")
        .argument::<path::PathBuf>("FILE")
        .complete_shell(bpaf::ShellComp::File { mask: None });
    let check = bpaf::long("check")
        .help("Check the settings, print all errors and exit")
        .switch();
    let overrides = overrides();
    bpaf::construct!(Launch {
        settings,
        check,
        overrides
    })
    .to_options()
    .descr("Serves callers of database groups.")
    .footer("Flags override the values of the file, which override the defaults.")
    .version(env!("CARGO_PKG_VERSION"))
}

fn overrides() -> impl Parser<Vec<settings::Override>> {
    let name = flag("name", "NAME", "vm", "name");
    let domain = flag("failure-domain", "NAME", "vm", "failure_domain");
    let callers = flag("callers", "IP:PORT", "listen", "callers");
    let peers = flag("peers", "IP:PORT", "listen", "peers");
    let admin = flag("admin", "IP:PORT", "listen", "admin");
    let platform = flag("platform", "IP:PORT", "platform", "address");
    let format = flag("log-format", "FORMAT", "log", "format");
    let filter = flag("log-filter", "FILTER", "log", "filter");
    bpaf::construct!([
        name, domain, callers, peers, admin, platform, format, filter
    ])
    .many()
}

fn flag(
    name: &'static str,
    value_name: &'static str,
    section: &'static str,
    key: &'static str,
) -> impl Parser<settings::Override> {
    bpaf::long(name)
        .help(format!("Overrides `{key}` in [{section}]").as_str())
        .argument::<CompactString>(value_name)
        .map(move |value| settings::Override {
            section,
            key,
            value,
        })
}

#[cfg(test)]
mod tests;
