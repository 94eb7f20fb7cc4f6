//! Finds what a configuration changes, and whom a change harms.

use std::collections;
use std::fmt;
use std::time;

use compact_str::CompactString;
use mangotray::id;

use crate::catalog;
use crate::configuration::document;
use crate::configuration::finding;
use crate::configuration::label;
use crate::key;

const ROUTE_REMOVED: &str = "callers of this database are refused";
const SERVICE_REMOVED: &str = "its instances serve nobody";
const ORGANISATION_REMOVED: &str = "its callers are refused";
const KEYS_REQUIRED: &str = "callers without a key are refused";
const KEY_REVOKED: &str = "callers with a revoked key are refused";
const TIMEOUT_SHORTER: &str = "longer statements time out";
const IDLE_TIMEOUT_SHORTER: &str = "transactions that are idle for longer may be ended";
const STALENESS_TIGHTER: &str = "fewer replicas can serve its reads";
const CONNECTIONS_LOWERED: &str = "fewer connections to each of its instances";
const LIMIT_LOWERED: &str =
    "more operations are refused, from one window after the configuration is in force everywhere";

/// Returns the changes from one configuration to another: first of routes, then of services, of
/// organisations and of limits, each in the order of names.
pub fn find(
    from: &document::Document,
    to: &document::Document,
    labels: &label::Labels,
) -> Vec<finding::Finding> {
    let mut found = Vec::new();
    compare(&from.routes, &to.routes, &Routes(labels), &mut found);
    compare(&from.services, &to.services, &Services(labels), &mut found);
    found.extend(keys_required(from, to));
    compare(
        from.organisations.as_deref().unwrap_or_default(),
        to.organisations.as_deref().unwrap_or_default(),
        &Organisations {
            labels,
            keys_required: to.organisations.is_some(),
        },
        &mut found,
    );
    found.extend(transaction_idle(from, to));
    found
}

/// How entries of one kind are compared.
trait Comparison {
    type Entry;

    /// Name by which entries of two configurations belong together.
    fn name<'a>(&self, entry: &'a Self::Entry) -> &'a CompactString;

    /// What to call an entry in findings.
    fn label(&self, entry: &Self::Entry) -> String;

    fn added(&self, entry: &Self::Entry) -> finding::Finding;

    fn removed(&self, entry: &Self::Entry) -> finding::Finding;

    /// Changes of the fields of one entry, without its label.
    fn fields(&self, from: &Self::Entry, to: &Self::Entry) -> Vec<Option<Field>>;
}

/// Change of one field.
struct Field {
    text: String,
    harm: Option<&'static str>,
}

impl Field {
    fn new<T: PartialEq>(
        name: &str,
        from: T,
        to: T,
        show: impl Fn(T) -> String,
        harm: Option<&'static str>,
    ) -> Option<Self> {
        (from != to).then(|| Self {
            text: format!("{name} {} -> {}", show(from), show(to)),
            harm,
        })
    }
}

// Of entries with the same name, which are an error, the first is compared.
fn compare<C: Comparison>(
    from: &[C::Entry],
    to: &[C::Entry],
    comparison: &C,
    found: &mut Vec<finding::Finding>,
) {
    let from = by_name(from, comparison);
    let to = by_name(to, comparison);
    let names: collections::BTreeSet<_> = from.keys().chain(to.keys()).collect();
    for name in names {
        match (from.get(*name), to.get(*name)) {
            (Some(from), Some(to)) => {
                let label = comparison.label(to);
                let fields = comparison.fields(from, to).into_iter().flatten();
                found.extend(fields.map(|field| {
                    let text = format!("{label}: {}", field.text);
                    finding::Finding::change(text).with_harm(field.harm)
                }));
            }
            (Some(from), None) => found.push(comparison.removed(from)),
            (None, Some(to)) => found.push(comparison.added(to)),
            (None, None) => {}
        }
    }
}

fn by_name<'a, C: Comparison>(
    entries: &'a [C::Entry],
    comparison: &C,
) -> collections::BTreeMap<&'a CompactString, &'a C::Entry> {
    // The last of equal names stays in the map.
    let entries = entries.iter().rev();
    entries
        .map(|entry| (comparison.name(entry), entry))
        .collect()
}

struct Routes<'a>(&'a label::Labels);

impl Comparison for Routes<'_> {
    type Entry = document::Route;

    fn name<'a>(&self, entry: &'a Self::Entry) -> &'a CompactString {
        &entry.database
    }

    fn label(&self, entry: &Self::Entry) -> String {
        format!("route {}", self.0.show(&entry.database))
    }

    fn added(&self, entry: &Self::Entry) -> finding::Finding {
        finding::Finding::change(format!(
            "{} is added: service {}, kind {}, timeout {}, objective {}, priority {}, staleness \
             bound {}, public {}",
            self.label(entry),
            self.0.show(&entry.group),
            self.kind(&entry.kind),
            span(entry.timeout),
            milliseconds(entry.objective_ms),
            entry.priority,
            milliseconds(entry.staleness_ms),
            entry.public
        ))
    }

    fn removed(&self, entry: &Self::Entry) -> finding::Finding {
        let text = format!("{} is removed", self.label(entry));
        finding::Finding::change(text).with_harm(ROUTE_REMOVED)
    }

    fn fields(&self, from: &Self::Entry, to: &Self::Entry) -> Vec<Option<Field>> {
        let tighter = bound(to) < bound(from);
        // Without a change of kind to the primary, a bound is tighter as its value is lower.
        let to_primary = to.freshness() == catalog::Freshness::Current;
        let kind_harm = (tighter && to_primary).then_some(STALENESS_TIGHTER);
        let bound_harm = (tighter && !to_primary).then_some(STALENESS_TIGHTER);
        let timeout_harm = (to.timeout < from.timeout).then_some(TIMEOUT_SHORTER);
        let public_harm = (from.public && !to.public).then_some(KEYS_REQUIRED);
        let group = |group: &id::Group| self.0.show(group).to_string();
        vec![
            Field::new("service", &from.group, &to.group, group, None),
            Field::new(
                "kind",
                &from.kind,
                &to.kind,
                |kind| self.kind(kind).to_string(),
                kind_harm,
            ),
            Field::new("timeout", from.timeout, to.timeout, span, timeout_harm),
            Field::new(
                "objective",
                from.objective_ms,
                to.objective_ms,
                milliseconds,
                None,
            ),
            Field::new("priority", from.priority, to.priority, debug, None),
            Field::new(
                "staleness bound",
                from.staleness_ms,
                to.staleness_ms,
                milliseconds,
                bound_harm,
            ),
            Field::new("public", from.public, to.public, debug, public_harm),
        ]
    }
}

impl Routes<'_> {
    fn kind(&self, kind: &document::Kind) -> CompactString {
        match kind {
            document::Kind::Primary => CompactString::const_new("primary"),
            document::Kind::BoundedStale => CompactString::const_new("bounded stale"),
            document::Kind::ReadOwn => CompactString::const_new("read own"),
            document::Kind::Unknown(kind) => self.0.show(kind),
        }
    }
}

struct Services<'a>(&'a label::Labels);

impl Comparison for Services<'_> {
    type Entry = catalog::Service;

    fn name<'a>(&self, entry: &'a Self::Entry) -> &'a CompactString {
        &entry.group
    }

    fn label(&self, entry: &Self::Entry) -> String {
        format!("service {}", self.0.show(&entry.group))
    }

    fn added(&self, entry: &Self::Entry) -> finding::Finding {
        finding::Finding::change(format!(
            "{} is added: connections {}, replicas that confirm {}",
            self.label(entry),
            entry.connections,
            entry.sync
        ))
    }

    fn removed(&self, entry: &Self::Entry) -> finding::Finding {
        let text = format!("{} is removed", self.label(entry));
        finding::Finding::change(text).with_harm(SERVICE_REMOVED)
    }

    fn fields(&self, from: &Self::Entry, to: &Self::Entry) -> Vec<Option<Field>> {
        // Nodes read 0 as no bound.
        let bound = |service: &Self::Entry| match service.connections {
            0 => usize::MAX,
            connections => connections,
        };
        let harm = (bound(to) < bound(from)).then_some(CONNECTIONS_LOWERED);
        vec![
            Field::new("connections", from.connections, to.connections, debug, harm),
            Field::new("replicas that confirm", from.sync, to.sync, debug, None),
        ]
    }
}

struct Organisations<'a> {
    labels: &'a label::Labels,
    /// Whether callers need a key in the new configuration.
    keys_required: bool,
}

impl Comparison for Organisations<'_> {
    type Entry = document::Organisation;

    fn name<'a>(&self, entry: &'a Self::Entry) -> &'a CompactString {
        &entry.name
    }

    fn label(&self, entry: &Self::Entry) -> String {
        format!("organisation {}", self.labels.show(&entry.name))
    }

    fn added(&self, entry: &Self::Entry) -> finding::Finding {
        let quota = entry.quota();
        finding::Finding::change(format!(
            "{} is added: keys {}, rate {}, burst {}",
            self.label(entry),
            fingerprints(&distinct(&entry.keys)),
            number(quota.map(|quota| quota.rate)),
            number(quota.map(|quota| quota.burst))
        ))
    }

    fn removed(&self, entry: &Self::Entry) -> finding::Finding {
        let keys = fingerprints(&distinct(&entry.keys));
        let text = format!("{} is removed: keys {keys}", self.label(entry));
        let harm = self.keys_required.then_some(ORGANISATION_REMOVED);
        finding::Finding::change(text).with_harm(harm)
    }

    fn fields(&self, from: &Self::Entry, to: &Self::Entry) -> Vec<Option<Field>> {
        let (had, has) = (distinct(&from.keys), distinct(&to.keys));
        let added: collections::BTreeSet<_> = has.difference(&had).copied().collect();
        let revoked: collections::BTreeSet<_> = had.difference(&has).copied().collect();
        let (before, after) = (from.quota(), to.quota());
        vec![
            keys("keys added", &added, None),
            keys("keys removed", &revoked, Some(KEY_REVOKED)),
            limit(
                "rate",
                before.map(|quota| quota.rate),
                after.map(|quota| quota.rate),
            ),
            limit(
                "burst",
                before.map(|quota| quota.burst),
                after.map(|quota| quota.burst),
            ),
        ]
    }
}

fn keys(
    name: &str,
    keys: &collections::BTreeSet<&key::Key>,
    harm: Option<&'static str>,
) -> Option<Field> {
    (!keys.is_empty()).then(|| Field {
        text: format!("{name} {}", fingerprints(keys)),
        harm,
    })
}

// No limit is above every limit.
fn limit(name: &str, from: Option<f64>, to: Option<f64>) -> Option<Field> {
    let lowered = to.is_some_and(|to| from.is_none_or(|from| to < from));
    Field::new(name, from, to, number, lowered.then_some(LIMIT_LOWERED))
}

fn keys_required(from: &document::Document, to: &document::Document) -> Option<finding::Finding> {
    match (&from.organisations, &to.organisations) {
        (None, Some(_)) => {
            let text = "callers of routes that are not public need a key";
            Some(finding::Finding::change(text).with_harm(KEYS_REQUIRED))
        }
        (Some(_), None) => Some(finding::Finding::change("callers need no key")),
        _ => None,
    }
}

fn transaction_idle(
    from: &document::Document,
    to: &document::Document,
) -> Option<finding::Finding> {
    let (from, to) = (from.transaction_idle, to.transaction_idle);
    let shorter = to.is_some_and(|to| from.is_none_or(|from| to < from));
    let show = |idle: Option<time::Duration>| idle.map_or_else(none, span);
    let harm = shorter.then_some(IDLE_TIMEOUT_SHORTER);
    let field = Field::new("idle timeout of transactions", from, to, show, harm)?;
    Some(finding::Finding::change(field.text).with_harm(field.harm))
}

/// How stale the reads of a route may be.
fn bound(route: &document::Route) -> time::Duration {
    match route.freshness() {
        catalog::Freshness::Current => time::Duration::ZERO,
        catalog::Freshness::Bounded(bound) | catalog::Freshness::Own(bound) => bound,
    }
}

fn distinct(keys: &[key::Key]) -> collections::BTreeSet<&key::Key> {
    keys.iter().collect()
}

// Keys are secret: their number and fingerprints are shown. Fingerprints are sorted so that their
// order does not tell that of the keys.
fn fingerprints(keys: &collections::BTreeSet<&key::Key>) -> String {
    if keys.is_empty() {
        return "0".to_owned();
    }
    let mut shown: Vec<_> = keys.iter().map(|key| key.fingerprint()).collect();
    shown.sort_unstable();
    format!("{} ({})", keys.len(), shown.join(", "))
}

fn milliseconds(value: f64) -> String {
    document::duration(value).map_or_else(|| format!("{value} ms"), span)
}

fn span(value: time::Duration) -> String {
    if value.is_zero() {
        return "0".to_owned();
    }
    format!("{value:?}")
}

fn number(value: Option<f64>) -> String {
    value.map_or_else(none, |value| value.to_string())
}

fn debug(value: impl fmt::Debug) -> String {
    format!("{value:?}")
}

fn none() -> String {
    "none".to_owned()
}
