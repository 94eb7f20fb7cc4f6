//! Parsers for values of INI files.

use std::net;
use std::time;

use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;

const NAME_LENGTH_LIMIT: usize = 63;
const SIZE_UNITS: [(&str, usize); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

/// Result of parsing a value; the error message says which form is expected.
pub type Result<T> = std::result::Result<T, CompactString>;

/// Parses a name: 1 to 63 ASCII letters, digits, `.`, `_` and `-`.
///
/// # Errors
/// If the name is empty or too long or contains another character.
///
/// ```
/// assert!(mangotray::value::name("patan-hall").is_ok());
/// assert!(mangotray::value::name("patan hall").is_err());
/// ```
pub fn name(text: &str) -> Result<CompactString> {
    let allowed = |char: char| char.is_ascii_alphanumeric() || "._-".contains(char);
    if text.is_empty() || text.len() > NAME_LENGTH_LIMIT || !text.chars().all(allowed) {
        return Err(format_compact!(
            "{text:?} is no name: 1 to {NAME_LENGTH_LIMIT} letters, digits, `.`, `_` or `-`"
        ));
    }
    Ok(text.into())
}

/// Parses an address as `IP:PORT`; names are not resolved.
///
/// # Errors
/// If the text has another form.
///
/// ```
/// assert!(mangotray::value::address("[::1]:5432").is_ok());
/// assert!(mangotray::value::address("localhost:5432").is_err());
/// ```
pub fn address(text: &str) -> Result<net::SocketAddr> {
    text.parse()
        .map_err(|_| format_compact!("{text:?} is no address: IP:PORT with a numeric IP"))
}

/// Parses an address that other machines can connect to.
///
/// # Errors
/// As [`address`], and for `0.0.0.0` and `::`.
///
/// ```
/// assert!(mangotray::value::reachable("127.0.0.1:1").is_ok());
/// assert!(mangotray::value::reachable("0.0.0.0:1").is_err());
/// ```
pub fn reachable(text: &str) -> Result<net::SocketAddr> {
    let address = address(text)?;
    if address.ip().is_unspecified() {
        return Err(format_compact!(
            "{text:?} tells nobody where to connect: give the machine's own IP"
        ));
    }
    Ok(address)
}

/// Parses a reachable address whose port is not 0.
///
/// # Errors
/// As [`reachable`], and for port 0.
///
/// ```
/// assert!(mangotray::value::remote("127.0.0.1:0").is_err());
/// ```
pub fn remote(text: &str) -> Result<net::SocketAddr> {
    let address = reachable(text)?;
    if address.port() == 0 {
        return Err(format_compact!("{text:?} needs a port from 1 to 65535"));
    }
    Ok(address)
}

/// Parses a whole number of at least 1.
///
/// # Errors
/// If the text is not such a number.
///
/// ```
/// assert_eq!(mangotray::value::count("20"), Ok(20));
/// assert!(mangotray::value::count("0").is_err());
/// ```
pub fn count(text: &str) -> Result<usize> {
    text.parse()
        .ok()
        .filter(|number| *number > 0)
        .ok_or_else(|| format_compact!("{text:?} is no whole number of at least 1"))
}

/// Parses a number of bytes: plain, or with the unit KiB, MiB or GiB.
///
/// # Errors
/// If the text has another form.
///
/// ```
/// assert_eq!(mangotray::value::bytes("64KiB"), Ok(65536));
/// assert!(mangotray::value::bytes("64 kilo").is_err());
/// ```
pub fn bytes(text: &str) -> Result<usize> {
    let (digits, unit) = SIZE_UNITS
        .iter()
        .find_map(|(name, unit)| Some((text.strip_suffix(name)?, *unit)))
        .unwrap_or((text, 1));
    count(digits.trim())
        .ok()
        .and_then(|number| number.checked_mul(unit))
        .ok_or_else(|| {
            format_compact!("{text:?} is no size: bytes, or a number of KiB, MiB or GiB")
        })
}

/// Parses a time such as `250ms`, `5s` or `1m 30s`.
///
/// # Errors
/// If the text has another form.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(mangotray::value::duration("1m 30s"), Ok(Duration::from_secs(90)));
/// assert!(mangotray::value::duration("30").is_err());
/// ```
pub fn duration(text: &str) -> Result<time::Duration> {
    humantime::parse_duration(text).map_err(|_| {
        format_compact!("{text:?} is no time: a number with a unit, as in 250ms or 5s")
    })
}

/// Parses a time within bounds, both included.
///
/// # Errors
/// As [`duration`], and for a time out of bounds.
///
/// ```
/// use std::time::Duration;
/// let parse = mangotray::value::within(Duration::from_millis(1), Duration::from_secs(60));
/// assert!(parse("5s").is_ok());
/// assert!(parse("5h").is_err());
/// ```
pub fn within(min: time::Duration, max: time::Duration) -> impl Fn(&str) -> Result<time::Duration> {
    move |text| {
        let value = duration(text)?;
        if value < min || value > max {
            return Err(format_compact!(
                "{text} is out of bounds: {} to {}",
                humantime::format_duration(min),
                humantime::format_duration(max)
            ));
        }
        Ok(value)
    }
}

/// Parses a comma-separated list with at least one item.
///
/// # Errors
/// The error of the first item that cannot be parsed.
///
/// ```
/// use mangotray::value;
/// assert_eq!(value::list(value::count)("1, 2"), Ok(vec![1, 2]));
/// assert!(value::list(value::count)("1,,2").is_err());
/// ```
pub fn list<T>(parse: impl Fn(&str) -> Result<T>) -> impl Fn(&str) -> Result<Vec<T>> {
    move |text| text.split(',').map(|item| parse(item.trim())).collect()
}

/// Parses a log filter in the syntax of `tracing_subscriber::EnvFilter`.
///
/// # Errors
/// The error message of `EnvFilter`.
///
/// ```
/// assert!(mangotray::value::filter("info,mangotray=debug").is_ok());
/// assert!(mangotray::value::filter("mangotray=loud").is_err());
/// ```
pub fn filter(text: &str) -> Result<CompactString> {
    tracing_subscriber::EnvFilter::builder()
        .parse(text)
        .map(|_| CompactString::from(text))
        .map_err(|e| e.to_compact_string())
}
