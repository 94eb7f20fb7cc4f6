//! Runs one case of the review: `review-standins CASE FOLDER`. Exits with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case could not run.

mod common;
mod duty;
mod stop;
mod tap;
mod unlisted;

use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let words: Vec<_> = std::env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("usage: review-standins freeze|cut|stop|unlisted FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = run(case, Path::new(folder), trouble);
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error:?}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &Path, trouble: bool) -> eyre::Result<bool> {
    let record = common::Record::create(&folder.join("record.txt"))?;
    record.note(&format!("case {case}, disruption: {trouble}"));
    let executor: common::Executor = Rc::new(async_executor::LocalExecutor::new());
    let work = async {
        match case {
            "freeze" => duty::run(duty::Disruption::Freeze, trouble, &record, &executor).await,
            "cut" => duty::run(duty::Disruption::Cut, trouble, &record, &executor).await,
            "unlisted" => unlisted::run(trouble, &record, &executor).await,
            "stop" => stop::run(trouble, &record, &executor).await,
            _ => eyre::bail!("no such case"),
        }
    };
    let held = async_io::block_on(executor.run(work))?;
    record.note(if held {
        "the rule held"
    } else {
        "the rule was broken"
    });
    Ok(held)
}
