//! Finds entries that can never match.

use std::collections;

use crate::configuration::document;
use crate::configuration::finding;
use crate::configuration::label;
use crate::key;

/// Returns a warning for each entry that has no effect.
pub fn find(proposed: &document::Document, labels: &label::Labels) -> Vec<finding::Finding> {
    let mut texts = services(proposed, labels);
    texts.extend(kinds(proposed, labels));
    texts.extend(organisations(proposed, labels));
    texts.extend(public_only(proposed));
    texts.into_iter().map(finding::Finding::warning).collect()
}

fn services(proposed: &document::Document, labels: &label::Labels) -> Vec<String> {
    let groups = proposed.routes.iter().map(|route| &route.group);
    let groups: collections::BTreeSet<_> = groups.collect();
    let services = proposed.services.iter();
    let unused = services.filter(|service| !groups.contains(&service.group));
    unused
        .map(|service| {
            let service = labels.show(&service.group);
            format!("no route refers to service {service}")
        })
        .collect()
}

fn kinds(proposed: &document::Document, labels: &label::Labels) -> Vec<String> {
    let text = |route: &document::Route| match &route.kind {
        document::Kind::Unknown(kind) => Some(format!(
            "route {} has the unknown kind {}; its reads go to the primary",
            labels.show(&route.database),
            labels.show(kind)
        )),
        _ => None,
    };
    proposed.routes.iter().filter_map(text).collect()
}

fn organisations(proposed: &document::Document, labels: &label::Labels) -> Vec<String> {
    let text = |organisation: &document::Organisation| {
        let name = labels.show(&organisation.name);
        if organisation.keys.is_empty() {
            return Some(format!(
                "organisation {name} has no keys, so no caller belongs to it"
            ));
        }
        let empty = organisation.keys.iter().any(key::Key::is_empty);
        empty.then(|| {
            format!(
                "organisation {name} has an empty key, so callers that send no key belong to it"
            )
        })
    };
    let organisations = proposed.organisations.iter().flatten();
    organisations.filter_map(text).collect()
}

fn public_only(proposed: &document::Document) -> Option<String> {
    let all_public = proposed.routes.iter().all(|route| route.public);
    let mut organisations = proposed.organisations.iter().flatten();
    let keys = organisations.any(|organisation| !organisation.keys.is_empty());
    (!proposed.routes.is_empty() && all_public && keys)
        .then(|| "all routes are public, so no caller is asked for a key".to_owned())
}
