//! Reads what a stand-in group holds, for the audit.

use crate::cluster;
use crate::ledger;
use crate::profile;

/// Columns of one row as text.
type Columns = Vec<Option<String>>;

/// Tables of one instance, and the logs of all.
///
/// # Errors
/// When the tables are not those of the profile.
pub fn contents(
    cluster: &cluster::Cluster,
    primary: mangotray::id::Index,
    profile: &profile::Profile,
) -> eyre::Result<ledger::Contents> {
    let sql = [
        &profile.all_bookings(),
        profile.all_entries(),
        &profile.all_counters(),
    ];
    // One snapshot: with one for each table, a write that commits between two of them
    // looks doubled or mixed.
    let tables = cluster.queries(primary, &sql)?;
    let [bookings, entries, counters] = tables.as_slice() else {
        eyre::bail!("{} results of {} queries", tables.len(), sql.len());
    };
    Ok(ledger::Contents {
        bookings: bookings.iter().map(row).collect::<Result<_, _>>()?,
        entries: entries.iter().map(row).collect::<Result<_, _>>()?,
        counters: counters.iter().map(counter).collect::<Result<_, _>>()?,
        logs: (0..cluster::SIZE)
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
