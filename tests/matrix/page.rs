//! Renders the matrix as the page `docs/FAULTS.md`.

use std::fmt::Write;

use crate::cell;
use crate::fault::Fault;
use crate::operation::Operation;
use crate::plan;

const INTRODUCTION: &str = "\
# Fault matrix

Every fault at every step of every operation. `tests/matrix.rs` makes the cells from the
lists of faults, operations and steps, runs each and fails unless it ends as stated here;
`MANGOTRAY_WRITE=1 cargo test --test matrix` writes this page anew, and without the
variable the test fails when the page is not current.

Each cell drives the real group, lane, pool, probes, failure detector, promotion and
registry of terms of three proxies, over a group of three instances and a store that
live in memory. The fault strikes at the step and lasts until the operation has ended;
then everything is mended, a proxy that knows nothing of the past joins, and the cell
goes on until a write and a read succeed and all instances hold one log.

In every cell, whatever it ends as:

- each confirmed write stands exactly once in the last primary's log;
- no record stands twice in any log;
- nothing that was refused as not run was ever in any log;
- each read shows every write confirmed before it;
- each answer is whole and belongs to its request;
- each term has one primary at most;
- revisions of the configuration only grow, no two applies share one, and two nodes that
  follow the store, or each other, put them in force in that order and end with the last;
- a file that was told lost was never in force, and one told applied is there;
- no read shows a record that is gone afterwards.

Outcomes: *done*; *not run*, a refusal; *unknown*, also for a caller whose proxy died;
*done after the fault*, where too little was left to go on. Two outcomes stand where it
depends on which of two things happens first. Outcomes **in bold** are not as they should
be; the causes stand at the end.

";

const PAIRS_INTRODUCTION: &str = "\
The first fault (row) strikes before the term is claimed, the second (column) before the
promotion arrives.

";

/// Returns the whole page as Markdown.
pub fn page(cells: &[cell::Cell]) -> String {
    let mut page = INTRODUCTION.to_owned();
    for operation in Operation::ALL {
        title(&mut page, operation.name());
        let steps = operation.steps().iter().map(|step| step.name);
        table_header(&mut page, steps);
        for fault in Fault::ALL {
            let chosen = |cell: &&cell::Cell| {
                cell.operation == *operation && cell.fault == *fault && cell.second.is_none()
            };
            table_row(&mut page, *fault, cells.iter().filter(chosen));
        }
    }
    for operation in Operation::ALL {
        let chosen = |cell: &&cell::Cell| cell.operation == *operation && cell.second.is_some();
        if cells.iter().any(|cell| chosen(&cell)) {
            title(&mut page, &format!("{}: pairs of faults", operation.name()));
            page.push_str(PAIRS_INTRODUCTION);
            table_header(&mut page, Fault::ALL.iter().map(|fault| fault.name()));
            for fault in Fault::ALL {
                let chosen = cells.iter().filter(chosen);
                table_row(
                    &mut page,
                    *fault,
                    chosen.filter(|cell| cell.fault == *fault),
                );
            }
        }
    }
    notes(&mut page, cells);
    page
}

fn title(page: &mut String, title: &str) {
    if !page.ends_with("\n\n") {
        page.push('\n');
    }
    let _ = write!(page, "## {title}\n\n");
}

fn table_header<'a>(page: &mut String, names: impl Iterator<Item = &'a str>) {
    let names: Vec<_> = names.collect();
    let _ = writeln!(page, "| fault | {} |", names.join(" | "));
    let _ = writeln!(page, "| --- |{}", " --- |".repeat(names.len()));
}

fn table_row<'a>(page: &mut String, fault: Fault, cells: impl Iterator<Item = &'a cell::Cell>) {
    let texts: Vec<_> = cells.map(|cell| plan_text(&plan::plan(cell))).collect();
    let _ = writeln!(page, "| {} | {} |", fault.name(), texts.join(" | "));
}

fn plan_text(plan: &plan::Plan) -> String {
    match plan {
        plan::Plan::Run(classes) => class_names(classes),
        plan::Plan::KnownFault(classes, _) => format!("**{}**", class_names(classes)),
        plan::Plan::NotApplicable(_) => "n/a".to_owned(),
    }
}

fn class_names(classes: &[cell::Class]) -> String {
    let names: Vec<_> = classes.iter().map(|class| class.name()).collect();
    names.join(" or ")
}

fn notes(page: &mut String, cells: &[cell::Cell]) {
    let plans = || cells.iter().map(|cell| (cell, plan::plan(cell)));
    title(page, "Cells that are not run");
    for (cell, plan) in plans() {
        if let plan::Plan::NotApplicable(reason) = plan {
            note(page, cell, reason);
        }
    }
    title(page, "Cells that do not end as they should");
    for (cell, plan) in plans() {
        if let plan::Plan::KnownFault(_, cause) = plan {
            note(page, cell, cause);
        }
    }
}

fn note(page: &mut String, cell: &cell::Cell, text: &str) {
    let operation = cell.operation.name();
    let (step, fault) = (cell.step.name, cell.fault.name());
    let _ = writeln!(page, "- {operation}, {step}, {fault}: {text}.");
}
