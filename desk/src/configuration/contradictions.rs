//! Finds limits that contradict each other.

use crate::catalog;
use crate::configuration::document;
use crate::configuration::finding;
use crate::configuration::label;

/// Fewest connections of an instance with which lending works: a lending node needs one for control
/// and one for a read, and only half of them are used where organisations have connections of their
/// own.
const MIN_CONNECTIONS: usize = 4;

/// Returns a warning for each limit that contradicts another one, or that nodes read as another
/// value.
pub fn find(proposed: &document::Document, labels: &label::Labels) -> Vec<finding::Finding> {
    let mut texts = Vec::new();
    for route in &proposed.routes {
        texts.extend(objective(route, labels));
        texts.extend(staleness(route, labels));
    }
    let services = proposed.services.iter();
    texts.extend(services.filter_map(|service| connections(service, labels)));
    let organisations = proposed.organisations.iter().flatten();
    texts.extend(organisations.filter_map(|organisation| quota(organisation, labels)));
    texts.extend(transaction_idle(proposed, labels));
    texts.into_iter().map(finding::Finding::warning).collect()
}

fn objective(route: &document::Route, labels: &label::Labels) -> Option<String> {
    let database = labels.show(&route.database);
    let Some(objective) = document::duration(route.objective_ms) else {
        return Some(format!(
            "the objective of route {database} is not a valid time; nodes read it as 0"
        ));
    };
    // A timeout of 0 is an error of its own.
    (objective > route.timeout && !route.timeout.is_zero()).then(|| {
        let timeout = route.timeout;
        format!("the objective {objective:?} of route {database} is above its timeout {timeout:?}")
    })
}

fn staleness(route: &document::Route, labels: &label::Labels) -> Option<String> {
    let database = labels.show(&route.database);
    let Some(staleness) = document::duration(route.staleness_ms) else {
        return Some(format!(
            "the staleness bound of route {database} is not a valid time; nodes read it as 0"
        ));
    };
    match route.freshness() {
        catalog::Freshness::Current if !staleness.is_zero() => Some(format!(
            "the staleness bound {staleness:?} of route {database} has no effect: its reads go to \
             the primary"
        )),
        catalog::Freshness::Bounded(bound) | catalog::Freshness::Own(bound) if bound.is_zero() => {
            Some(format!(
                "the staleness bound of route {database} is 0: only the primary can serve its \
                 reads, and replicas stay idle"
            ))
        }
        _ => None,
    }
}

fn connections(service: &catalog::Service, labels: &label::Labels) -> Option<String> {
    let connections = service.connections;
    let name = labels.show(&service.group);
    match connections {
        0 => Some(format!(
            "service {name} has 0 connections for each instance; nodes read it as no bound, and \
             each node connects directly"
        )),
        1..MIN_CONNECTIONS => Some(format!(
            "service {name} has {connections} connections for each instance, fewer than \
             {MIN_CONNECTIONS}: each lending node needs one for control and one for a read"
        )),
        _ => None,
    }
}

fn quota(organisation: &document::Organisation, labels: &label::Labels) -> Option<String> {
    let name = labels.show(&organisation.name);
    let Some(quota) = organisation.quota() else {
        return organisation.burst.map(|burst| {
            format!("organisation {name} has a burst of {burst} without a rate, so it has no limit")
        });
    };
    let burst = quota.burst;
    if !quota.is_valid() {
        // Reported as an error.
        return None;
    }
    if quota.rate > 0.0 {
        return (burst < 1.0)
            .then(|| format!("organisation {name} has a burst of {burst}, below one operation"));
    }
    Some(if burst > 0.0 {
        format!(
            "organisation {name} has a rate of 0 and a burst of {burst}: after the first operations \
             no more are allowed"
        )
    } else {
        format!("organisation {name} has a rate and burst of 0: no operations are allowed")
    })
}

fn transaction_idle(proposed: &document::Document, labels: &label::Labels) -> Option<String> {
    let idle = proposed.transaction_idle?;
    if idle.is_zero() {
        return Some("the idle timeout of transactions is 0".to_owned());
    }
    let shorter = proposed.routes.iter().filter(|route| idle < route.timeout);
    let longest = shorter.clone().max_by_key(|route| route.timeout)?;
    Some(format!(
        "the idle timeout of transactions {idle:?} is below the timeout of {} routes, the longest \
         being {:?} of route {}",
        shorter.count(),
        longest.timeout,
        labels.show(&longest.database)
    ))
}
