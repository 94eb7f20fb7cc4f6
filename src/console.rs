//! Output of the command-line tool, for people and for scripts.

use std::io;
use std::io::IsTerminal;

use crate::exit;
use crate::fault;

const RED: &str = "31";
const YELLOW: &str = "33";
const NO_COLOUR_VARIABLE: &str = "NO_COLOR";

/// Output streams of a command.
pub struct Console {
    /// Stream for results.
    pub out: Box<dyn io::Write>,
    /// Stream for errors and warnings.
    pub err: Box<dyn io::Write>,
    /// Whether errors and warnings are coloured.
    pub colour: bool,
}

impl Console {
    /// Standard output and standard error. Errors and warnings are coloured if standard error is a
    /// terminal and `NO_COLOR` is unset or empty.
    ///
    /// ```
    /// use std::io::Write;
    /// let mut console = mangotray::console::Console::standard();
    /// assert!(writeln!(console.out, "revision 4").is_ok());
    /// ```
    #[must_use]
    pub fn standard() -> Self {
        let plain = std::env::var_os(NO_COLOUR_VARIABLE).is_some_and(|value| !value.is_empty());
        Self {
            out: Box::new(io::stdout()),
            err: Box::new(io::stderr()),
            colour: !plain && io::stderr().is_terminal(),
        }
    }

    /// Prints an error.
    ///
    /// # Errors
    /// When standard error cannot be written.
    ///
    /// ```
    /// let mut console = mangotray::console::Console::standard();
    /// assert!(console.error("no such file").is_ok());
    /// ```
    pub fn error(&mut self, message: &str) -> io::Result<()> {
        self.print_labelled(RED, "error", message)
    }

    /// Prints a warning.
    ///
    /// # Errors
    /// When standard error cannot be written.
    ///
    /// ```
    /// let mut console = mangotray::console::Console::standard();
    /// assert!(console.warning("one failure domain only").is_ok());
    /// ```
    pub fn warning(&mut self, message: &str) -> io::Result<()> {
        self.print_labelled(YELLOW, "warning", message)
    }

    /// Prints all faults of a file as errors.
    ///
    /// # Errors
    /// When standard error cannot be written.
    ///
    /// ```
    /// use mangotray::{console, exit, fault};
    /// let faults = [fault::Fault::new(Some(1), "[vm] name", "missing")];
    /// let code = console::Console::standard().invalid("vm.ini", &faults);
    /// assert_eq!(code.unwrap(), exit::Code::InvalidFile);
    /// ```
    pub fn invalid(&mut self, file: &str, faults: &[fault::Fault]) -> io::Result<exit::Code> {
        for fault in faults {
            self.error(&fault.text_with_file(file))?;
        }
        Ok(exit::Code::InvalidFile)
    }

    /// Prints the error that ended a command. A broken pipe is not reported, since the reader of
    /// the output has closed it.
    ///
    /// ```
    /// use mangotray::{console, exit};
    /// let code = console::Console::standard().fail(&eyre::eyre!("no route to host"));
    /// assert_eq!(code, exit::Code::GeneralError);
    /// ```
    pub fn fail(&mut self, error: &eyre::Report) -> exit::Code {
        let closed = error
            .downcast_ref::<io::Error>()
            .is_some_and(|error| error.kind() == io::ErrorKind::BrokenPipe);
        if !closed {
            // If standard error cannot be written either, the error cannot be reported.
            let _ = self.error(&format!("{error:#}"));
        }
        exit::Code::GeneralError
    }

    fn print_labelled(&mut self, colour: &str, label: &str, message: &str) -> io::Result<()> {
        if self.colour {
            writeln!(self.err, "\x1b[1;{colour}m{label}\x1b[0m: {message}")
        } else {
            writeln!(self.err, "{label}: {message}")
        }
    }
}
