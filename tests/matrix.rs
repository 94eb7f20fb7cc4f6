//! Fault matrix: injects every fault at every step of every operation. The code for decisions
//! and lanes is the production code; instances and store are in-memory fakes.

#[path = "matrix/cell.rs"]
mod cell;
#[path = "matrix/cluster.rs"]
mod cluster;
#[path = "matrix/fault.rs"]
mod fault;
#[path = "matrix/follower.rs"]
mod follower;
#[path = "matrix/harness.rs"]
mod harness;
#[path = "matrix/instance.rs"]
mod instance;
#[path = "matrix/operation.rs"]
mod operation;
#[path = "matrix/page.rs"]
mod page;
#[path = "matrix/plan.rs"]
mod plan;
#[path = "matrix/pool.rs"]
mod pool;
#[path = "matrix/process.rs"]
mod process;
#[path = "matrix/proxy.rs"]
mod proxy;
#[path = "matrix/repair.rs"]
mod repair;
#[path = "matrix/shutdown.rs"]
mod shutdown;
#[path = "matrix/store.rs"]
mod store;
#[path = "matrix/upstream.rs"]
mod upstream;

use std::sync;

/// Maximum number of cells that run at the same time.
const MAX_CONCURRENT_CELLS: usize = 40;

/// Path of the page that shows the matrix.
const PAGE_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/FAULTS.md");

/// Environment variable that makes the test write the page before it compares it.
const WRITE_VARIABLE: &str = "MANGOTRAY_WRITE";

/// Returns all faults at all steps, and pairs of faults for promotions.
fn cells() -> Vec<cell::Cell> {
    let mut cells = Vec::new();
    for operation in operation::Operation::ALL {
        for step in operation.steps() {
            cells.extend(fault::Fault::ALL.iter().map(|fault| cell::Cell {
                operation: *operation,
                step: *step,
                fault: *fault,
                second: None,
            }));
        }
    }
    cells.extend(pairs(operation::Operation::Promotion));
    cells.extend(pairs(operation::Operation::Replacement));
    cells
}

/// Returns all pairs of faults, before the term is claimed and before the promotion arrives.
fn pairs(operation: operation::Operation) -> Vec<cell::Cell> {
    let step_at = |point| {
        let mut steps = operation.steps().iter();
        *steps
            .find(|step| step.point == point)
            .expect("the operation has a step at this point")
    };
    let (step, later) = (
        step_at(operation::Point::Loads),
        step_at(operation::Point::Promotes),
    );
    let faults = fault::Fault::ALL.iter();
    faults
        .flat_map(|fault| {
            let seconds = fault::Fault::ALL.iter();
            seconds.map(move |second| cell::Cell {
                operation,
                step,
                fault: *fault,
                second: Some((later, *second)),
            })
        })
        .collect()
}

fn run(cells: &[&cell::Cell]) -> Vec<cell::Finding> {
    pool::block_on(|pool| async move {
        let permits = sync::Arc::new(async_lock::Semaphore::new(MAX_CONCURRENT_CELLS));
        let tasks = cells.iter().map(|cell| {
            let (cell, runner, permits) = (**cell, pool.clone(), permits.clone());
            pool.spawn(async move {
                let _permit = permits.acquire().await;
                cell.run(runner).await
            })
        });
        let tasks: Vec<_> = tasks.collect();
        futures_util::future::join_all(tasks).await
    })
}

/// Describes the failure of a cell, if any. The step of the first fault must be reached in
/// every cell; that of the second may be missed.
fn failure(cell: &cell::Cell, finding: &cell::Finding) -> Option<String> {
    let allowed = match plan::plan(cell) {
        plan::Plan::Run(allowed) | plan::Plan::KnownFault(allowed, _) => allowed,
        plan::Plan::NotApplicable(_) => return None,
    };
    let pairs = usize::from(cell.second.is_some());
    let good = allowed.contains(&finding.class) && finding.unreached_faults <= pairs;
    (!good || !finding.violations.is_empty()).then(|| {
        let second = cell.second.map(|(_, fault)| fault.name());
        let place = format!("{} / {}", cell.operation.name(), cell.step.name);
        format!(
            "{place} / {} {second:?}: {finding:?}, allowed {allowed:?}",
            cell.fault.name()
        )
    })
}

#[test]
fn every_fault_at_every_step() {
    let cells = cells();
    let (apply, skip): (Vec<_>, Vec<_>) = cells
        .iter()
        .partition(|cell| !matches!(plan::plan(cell), plan::Plan::NotApplicable(_)));
    let findings = run(&apply);
    let unreached = findings
        .iter()
        .filter(|finding| finding.unreached_faults > 0)
        .count();
    println!("{} cells run, {} not applicable", apply.len(), skip.len());
    println!("{unreached} pairs whose second step was not reached");
    let failures: Vec<_> = apply
        .iter()
        .zip(&findings)
        .filter_map(|(cell, finding)| failure(cell, finding))
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn the_page_is_current() {
    let page = page::page(&cells());
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        std::fs::write(PAGE_PATH, &page).expect("docs/FAULTS.md is writable");
    }
    let found = std::fs::read_to_string(PAGE_PATH).unwrap_or_default();
    assert!(
        found == page,
        "docs/FAULTS.md is not current; set {WRITE_VARIABLE}=1 to write it"
    );
}
