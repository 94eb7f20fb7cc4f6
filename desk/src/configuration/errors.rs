//! Finds what nodes would reject or ignore, and what cannot serve.

use std::collections;

use mangotray::id;

use crate::catalog;
use crate::configuration::document;
use crate::configuration::finding;
use crate::configuration::label;
use crate::organisations;

/// Returns the errors of a configuration.
pub fn find(
    proposed: &document::Document,
    in_force: Option<&document::Document>,
    labels: &label::Labels,
) -> Vec<finding::Finding> {
    let mut texts = Vec::new();
    texts.extend(in_force.and_then(|in_force| version(proposed.version, in_force.version)));
    texts.extend(routes(proposed, labels));
    texts.extend(services(proposed, labels));
    texts.extend(organisations(proposed, labels));
    texts.into_iter().map(finding::Finding::error).collect()
}

fn version(proposed: id::Revision, in_force: id::Revision) -> Option<String> {
    (proposed <= in_force).then(|| {
        format!(
            "version {proposed} is not higher than version {in_force} in force, so nodes ignore it"
        )
    })
}

fn routes(proposed: &document::Document, labels: &label::Labels) -> Vec<String> {
    if proposed.routes.is_empty() {
        return vec!["the configuration has no routes".to_owned()];
    }
    let services = proposed.services.iter().map(|service| &service.group);
    let services: collections::BTreeSet<_> = services.collect();
    let mut databases = collections::BTreeSet::new();
    let mut texts = Vec::new();
    for route in &proposed.routes {
        let database = labels.show(&route.database);
        if !databases.insert(&route.database) {
            texts.push(format!("route {database} is defined twice"));
        }
        if !services.contains(&route.group) {
            let service = labels.show(&route.group);
            texts.push(format!(
                "route {database} refers to service {service}, which is not defined"
            ));
        }
        if route.timeout.is_zero() {
            texts.push(format!("route {database} has a timeout of 0"));
        }
    }
    texts
}

fn services(proposed: &document::Document, labels: &label::Labels) -> Vec<String> {
    let mut groups = collections::BTreeSet::new();
    let services = proposed.services.iter();
    let repeated = services.filter(|service| !groups.insert(&service.group));
    let text = |service: &catalog::Service| {
        format!("service {} is defined twice", labels.show(&service.group))
    };
    repeated.map(text).collect()
}

fn organisations(proposed: &document::Document, labels: &label::Labels) -> Vec<String> {
    let organisations = proposed.organisations.iter().flatten();
    let indexed: Vec<_> = organisations
        .map(document::Organisation::organisation)
        .collect();
    let faults = organisations::faults(&indexed);
    faults.iter().map(|fault| text(fault, labels)).collect()
}

fn text(fault: &organisations::Fault, labels: &label::Labels) -> String {
    match fault {
        organisations::Fault::Duplicate(name) => {
            format!("organisation {} is defined twice", labels.show(name))
        }
        organisations::Fault::SharedKey {
            fingerprint,
            first,
            second,
        } => format!(
            "organisations {} and {} hold the same key {fingerprint}",
            labels.show(first),
            labels.show(second)
        ),
        organisations::Fault::Quota(name) => format!(
            "rate or burst of organisation {} is negative or too large",
            labels.show(name)
        ),
        organisations::Fault::Name(name) => format!(
            "organisation {} has an invalid name: it is empty, contains white space or is reserved",
            labels.show(name)
        ),
    }
}
