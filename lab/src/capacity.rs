//! Measures the resources that one proxy uses as each size grows, and fits a line to each.
//!
//! `docs/CAPACITY.md` multiplies the slopes by the sizes of the target. The proxies run in
//! this process; their processor time is told apart from that of the stand-ins by thread
//! name (see `usage`). Callers and relays block on their own threads and do not use the
//! shared reactor.

use std::time;

mod bench;
mod callers;
mod client;
mod control;
mod decision;
mod document;
pub mod fit;
mod peers;
mod promotion;
mod relay;
mod statement;
mod store;
mod usage;

/// Sections to measure and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Names of the sections; all when empty.
    pub sections: Vec<String>,
    /// Duration over which processor time, traffic and calls are measured.
    pub window: time::Duration,
}

type Measure = fn(&Options) -> eyre::Result<Vec<fit::Series>>;

/// Sections by name.
const SECTIONS: [(&str, Measure); 8] = [
    ("callers", callers::measure),
    ("statements", statement::measure),
    ("control", control::measure),
    ("peers", peers::measure),
    ("documents", document::measure),
    ("store", store::measure),
    ("decisions", decision::measure),
    ("promotions", promotion::measure),
];

/// Measures each series; prints it as text on standard error and as JSON on standard output.
///
/// ```
/// use mangotray_lab::capacity;
/// let window = std::time::Duration::from_secs(1);
/// let unknown = capacity::Options { sections: vec!["moon".into()], window };
/// assert!(capacity::run(&unknown).is_err());
/// ```
///
/// # Errors
/// When a section is unknown, or a proxy or stand-in cannot be started.
pub fn run(options: &Options) -> eyre::Result<()> {
    let known = |name: &String| SECTIONS.iter().any(|(section, _)| section == name);
    if let Some(name) = options.sections.iter().find(|name| !known(name)) {
        let names: Vec<_> = SECTIONS.iter().map(|(section, _)| *section).collect();
        eyre::bail!(
            "unknown section {name:?}; the sections are {}",
            names.join(", ")
        );
    }
    for (name, measure) in SECTIONS {
        if options.sections.is_empty() || options.sections.iter().any(|it| it == name) {
            for series in measure(options)? {
                eprintln!("{name:12} {series}");
                println!("{}", serde_json::to_string(&series)?);
            }
        }
    }
    Ok(())
}
