//! Reads the tables and logs of a stand-in group, for the audit.

use crate::cluster;
use crate::ledger;
use crate::profile;

/// Columns of one row as text.
type Columns = Vec<Option<String>>;

/// Reads the tables of the primary and the logs of all instances.
///
/// # Errors
/// When the tables do not match the profile.
pub fn contents(
    cluster: &cluster::Cluster,
    primary: mangotray::id::Index,
    profile: &profile::Profile,
) -> eyre::Result<ledger::Contents> {
    let sql = [
        &profile.all_bookings_query(),
        profile.all_entries_query(),
        &profile.all_counters_query(),
    ];
    // One snapshot for all tables: with one for each, a write that commits between two of
    // them would be counted as doubled or mixed.
    let tables = cluster.queries(primary, &sql)?;
    let [bookings, entries, counters] = tables.as_slice() else {
        eyre::bail!("{} results for {} queries", tables.len(), sql.len());
    };
    Ok(ledger::Contents {
        bookings: bookings.iter().map(row).collect::<Result<_, _>>()?,
        entries: entries.iter().map(row).collect::<Result<_, _>>()?,
        counters: counters.iter().map(counter).collect::<Result<_, _>>()?,
        logs: (0..cluster::INSTANCE_COUNT)
            .map(|index| log(cluster, index))
            .collect(),
    })
}

fn log(cluster: &cluster::Cluster, index: mangotray::id::Index) -> Vec<ledger::Record> {
    cluster
        .log(index)
        .iter()
        .map(|record| ledger::keys(&format!("{:?}", record.statements)))
        .filter(|keys| !keys.is_empty())
        .collect()
}

fn row(columns: &Columns) -> eyre::Result<ledger::Row> {
    Ok(ledger::Row {
        key: text(columns, 0)?.into(),
        marker: text(columns, 1)?.into(),
        item: text(columns, 2)?.parse()?,
    })
}

fn counter(columns: &Columns) -> eyre::Result<(ledger::Item, i64)> {
    Ok((text(columns, 0)?.parse()?, text(columns, 1)?.parse()?))
}

fn text(columns: &Columns, index: usize) -> eyre::Result<&str> {
    columns
        .get(index)
        .and_then(Option::as_deref)
        .ok_or_else(|| eyre::eyre!("row {columns:?} has no column {index}"))
}
