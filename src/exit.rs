//! Exit codes of the programs.

use std::process;

/// Result of a program, for scripts.
///
/// ```
/// assert_eq!(u8::from(mangotray::exit::Code::InvalidFile), 3);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// The program succeeded.
    Success = 0,
    /// An error that has no code of its own.
    GeneralError = 1,
    /// The arguments are invalid.
    Usage = 2,
    /// The file has errors; all of them were printed.
    InvalidFile = 3,
    /// Another file is in force instead of the one to be applied.
    Conflict = 4,
    /// The platform's service or the proxies could not be reached; nothing was changed.
    Unreachable = 5,
    /// The system runs, but has problems that need attention.
    Degraded = 6,
    /// The file may or may not be in force; `mangotray diff` shows which file is.
    Unknown = 7,
}

impl From<Code> for u8 {
    fn from(code: Code) -> Self {
        code as Self
    }
}

impl From<Code> for process::ExitCode {
    fn from(code: Code) -> Self {
        Self::from(u8::from(code))
    }
}
