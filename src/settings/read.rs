//! Reads the sections of a settings file.

use std::net;
use std::time;

use compact_str::format_compact;

use crate::document;
use crate::fault;
use crate::section;
use crate::settings;
use crate::value;

const SECTIONS: [&str; 6] = ["vm", "listen", "platform", "peers", "limits", "log"];
const DEFAULT_REGION: &str = "default";
const DEFAULT_PEERS_PORT: u16 = 6433;
const DEFAULT_ADMIN_PORT: u16 = 9633;
const DEFAULT_PLATFORM_TIMEOUT: time::Duration = time::Duration::from_secs(1);
const MIN_TIMEOUT: time::Duration = time::Duration::from_millis(1);
const MAX_TIMEOUT: time::Duration = time::Duration::from_hours(1);

/// Adds a fault for each unknown section.
pub(super) fn check_sections(document: &document::Document, faults: &mut Vec<fault::Fault>) {
    let unknown = document
        .sections
        .iter()
        .filter(|section| !SECTIONS.contains(&section.title.as_str()));
    let reason = format!("unknown section; known are: {}", SECTIONS.join(", "));
    faults.extend(
        unknown.map(|s| fault::Fault::new(s.line, format_compact!("[{}]", s.title), &reason)),
    );
}

/// Reads all sections; `None` when a value without a default is missing or invalid.
pub(super) fn settings(
    document: &document::Document,
    faults: &mut Vec<fault::Fault>,
) -> Option<settings::Settings> {
    let section = |title: &str| {
        let found = document.sections.iter().find(|s| s.title == title);
        found.cloned().unwrap_or_else(|| empty_section(title))
    };
    let vm = vm(&section("vm"), faults);
    let listen = listen(&section("listen"), faults);
    let platform = platform(&section("platform"), faults);
    let peers = peers(&section("peers"), faults);
    let limits = limits(&section("limits"), faults);
    let log = log(&section("log"), faults);
    Some(settings::Settings {
        vm: vm?,
        listen: listen?,
        platform: platform?,
        peers,
        limits,
        log,
    })
}

/// Placeholder for a section that is not in the file; faults about it refer to line 1.
fn empty_section(title: &str) -> section::Section {
    section::Section {
        title: title.into(),
        line: Some(1),
        entries: Vec::new(),
    }
}

fn vm(section: &section::Section, faults: &mut Vec<fault::Fault>) -> Option<settings::Vm> {
    section.check_keys(&["name", "failure_domain", "region"], faults);
    let name = section.required("name", value::name, faults);
    let failure_domain = section.required("failure_domain", value::name, faults);
    let region = section.optional("region", value::name, faults);
    Some(settings::Vm {
        name: name?,
        failure_domain: failure_domain?,
        region: region.unwrap_or(DEFAULT_REGION.into()),
    })
}

fn listen(section: &section::Section, faults: &mut Vec<fault::Fault>) -> Option<settings::Listen> {
    section.check_keys(&["callers", "peers", "admin"], faults);
    let callers = section.required("callers", value::address, faults);
    let peers = section.optional("peers", value::reachable, faults);
    let admin = section.optional("admin", value::reachable, faults);
    let callers = callers?;
    let listen = settings::Listen {
        callers,
        peers: peers.unwrap_or(net::SocketAddr::new(callers.ip(), DEFAULT_PEERS_PORT)),
        admin: admin.unwrap_or(net::SocketAddr::new(callers.ip(), DEFAULT_ADMIN_PORT)),
    };
    check_addresses(section, &listen, faults);
    Some(listen)
}

fn check_addresses(
    section: &section::Section,
    listen: &settings::Listen,
    faults: &mut Vec<fault::Fault>,
) {
    let listeners = [
        ("callers", listen.callers),
        ("peers", listen.peers),
        ("admin", listen.admin),
    ];
    for (index, (key, address)) in listeners.iter().enumerate() {
        let others = &listeners[..index];
        if let Some((other, _)) = others
            .iter()
            .find(|(_, other)| other == address && address.port() != 0)
        {
            faults.push(section.fault(key, format!("{address} is also the address for {other}")));
        }
        let lacks_address = section.entry(key).is_none() && address.ip().is_unspecified();
        if lacks_address {
            faults.push(section.fault(
                key,
                "missing; required because `callers` listens on all addresses",
            ));
        }
    }
}

fn platform(
    section: &section::Section,
    faults: &mut Vec<fault::Fault>,
) -> Option<settings::Platform> {
    section.check_keys(&["address", "timeout"], faults);
    let address = section.required("address", value::remote, faults);
    let timeout = section.optional("timeout", timeout(), faults);
    Some(settings::Platform {
        address: address?,
        timeout: timeout.unwrap_or(DEFAULT_PLATFORM_TIMEOUT),
    })
}

fn limits(section: &section::Section, faults: &mut Vec<fault::Fault>) -> settings::Limits {
    section.check_keys(
        &[
            "callers",
            "callers_per_address",
            "message_bytes",
            "answer_bytes",
            "startup_timeout",
            "drain_timeout",
        ],
        faults,
    );
    let callers = section.optional("callers", value::count, faults);
    let callers = callers.unwrap_or(settings::DEFAULT_MAX_CALLERS);
    let mut read_number = |key, parse: fn(&str) -> value::Result<usize>, default| {
        section.optional(key, parse, faults).unwrap_or(default)
    };
    let callers_per_address = read_number("callers_per_address", value::count, callers);
    let message_bytes = read_number(
        "message_bytes",
        value::bytes,
        settings::DEFAULT_MAX_MESSAGE_BYTES,
    );
    let answer_bytes = read_number(
        "answer_bytes",
        value::bytes,
        settings::DEFAULT_MAX_ANSWER_BYTES,
    );
    let startup_timeout = section.optional("startup_timeout", timeout(), faults);
    let drain_timeout = section.optional("drain_timeout", timeout(), faults);
    if callers_per_address > callers {
        let reason = format!("{callers_per_address} is more than the {callers} callers in total");
        faults.push(section.fault("callers_per_address", reason));
    }
    settings::Limits {
        callers,
        callers_per_address,
        message_bytes,
        answer_bytes,
        startup_timeout: startup_timeout.unwrap_or(settings::DEFAULT_STARTUP_TIMEOUT),
        drain_timeout: drain_timeout.unwrap_or(settings::DEFAULT_DRAIN_TIMEOUT),
    }
}

fn peers(section: &section::Section, faults: &mut Vec<fault::Fault>) -> settings::Peers {
    section.check_keys(&["seeds"], faults);
    let seeds = section.optional("seeds", value::list(value::remote), faults);
    settings::Peers {
        seeds: seeds.unwrap_or_default(),
    }
}

fn log(section: &section::Section, faults: &mut Vec<fault::Fault>) -> settings::Log {
    section.check_keys(&["format", "filter"], faults);
    let default = settings::Log::default();
    let format = section.optional("format", format, faults);
    let filter = section.optional("filter", value::filter, faults);
    settings::Log {
        format: format.unwrap_or(default.format),
        filter: filter.unwrap_or(default.filter),
    }
}

fn format(text: &str) -> value::Result<settings::Format> {
    match text {
        "text" => Ok(settings::Format::Text),
        "json" => Ok(settings::Format::Json),
        other => Err(format_compact!(
            "{other:?} is not a format; expected text or json"
        )),
    }
}

fn timeout() -> impl Fn(&str) -> value::Result<time::Duration> {
    value::within(MIN_TIMEOUT, MAX_TIMEOUT)
}
