//! Stand-ins of the platform, of instances and of requesters for the cases of this review. Each
//! scenario starts the project's nodes as processes of their own and writes a record.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod instance;
mod node;
mod scenarios;
mod store;
mod world;

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, scenario, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 SCENARIO RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let outcome = scenarios::run(scenario, std::path::Path::new(record), trouble);
    match outcome {
        Ok(violations) => {
            for violation in violations.iter().take(10) {
                println!("{violation}");
            }
            println!("{} violations", violations.len());
            std::process::exit(i32::from(!violations.is_empty()));
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(2);
        }
    }
}
