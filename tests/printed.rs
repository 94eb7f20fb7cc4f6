//! Runs the console blocks of the pages as they are printed, on this checkout.
//!
//! `cargo` and `ls` run at its root, the programs in `docs/examples`, where their files are. Lines of
//! `psql` are sent by a client library.

use std::env;
use std::fs;
use std::io;
use std::io::BufRead;
use std::path;
use std::process;
use std::thread;
use std::time;

/// Pages in the order in which their blocks run.
const PAGES: [&str; 3] = ["README.md", "CONTRIBUTING.md", "docs/OPERATIONS.md"];

/// Programs whose blocks are run; blocks that begin with another one are left out.
const PROGRAMS: [&str; 7] = [
    "cargo",
    ".ci/run",
    "mangotray",
    "mangotrayd",
    "mangotray-node",
    "mangotray-lab",
    "psql",
];

/// Beginnings of commands that do not run here, with the reason.
const EXCEPTIONS: [(&str, &str); 9] = [
    ("cargo test", "it would run this test"),
    (".ci/run", "it runs this test"),
    ("mangotray trace", "it needs the logs of the reader's nodes"),
    (
        "mangotrayd --settings /etc/",
        "it needs a file under /etc and addresses of a VM",
    ),
    (
        "mangotray status",
        "it shows a group that has lost an instance",
    ),
    (
        "mangotray apply --platform 127.0.0.1:17000 --base 1",
        "it needs a second operator",
    ),
    (
        "mangotray-node check --settings FILE",
        "it needs the reader's settings",
    ),
    (
        "mangotray-node lost --settings FILE",
        "it needs the reader's settings",
    ),
    (
        "mangotray-node found --settings FILE",
        "it needs the reader's settings",
    ),
];

/// Longest run of one command; the first ones build the workspace.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_mins(25);

/// Duration of the demonstration, longer than the commands that use it take.
const DEMO_DURATION: &str = "5m";

/// Address of the platform in the examples of the operators' handbook.
const PLATFORM: &str = "127.0.0.1:17000";

/// A printed command with the lines that it is said to print.
#[derive(Clone, Debug)]
struct Step {
    page: &'static str,
    command: String,
    output: Vec<String>,
}

impl Step {
    fn program(&self) -> &str {
        self.command.split(' ').next().unwrap_or_default()
    }

    fn reason_to_skip(&self) -> Option<&'static str> {
        let matching = |(start, _): &&(&str, &str)| self.command.starts_with(start);
        EXCEPTIONS.iter().find(matching).map(|(_, reason)| *reason)
    }
}

/// Ends a program that runs beside the commands.
struct Background(process::Child);

impl Drop for Background {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn root() -> &'static path::Path {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The steps of a page's console blocks that begin with one of the programs.
fn steps(page: &'static str) -> Vec<Step> {
    let text = fs::read_to_string(root().join(page)).unwrap();
    let blocks = text.split("```console\n").skip(1);
    let blocks = blocks.map(|rest| rest.split("```").next().unwrap_or_default());
    let runs = |block: &&str| {
        let first = block.strip_prefix("$ ").unwrap_or_default();
        let program = first.split([' ', '\n']).next().unwrap_or_default();
        PROGRAMS.contains(&program)
    };
    blocks
        .filter(runs)
        .flat_map(|block| block_steps(page, block))
        .collect()
}

fn block_steps(page: &'static str, block: &str) -> Vec<Step> {
    let joined = block.replace("\\\n", " ");
    let mut steps: Vec<Step> = Vec::new();
    for line in joined.lines() {
        if let Some(command) = line.strip_prefix("$ ") {
            let command = command.split_whitespace().collect::<Vec<_>>().join(" ");
            let output = Vec::new();
            steps.push(Step {
                page,
                command,
                output,
            });
        } else if let Some(step) = steps.last_mut() {
            step.output.push(line.into());
        }
    }
    steps
}

/// A command of the shell, with the built programs in its path.
fn shell(step: &Step) -> process::Command {
    let folder = match step.program() {
        "cargo" | "ls" => root().to_owned(),
        _ => root().join("docs/examples"),
    };
    let built = root().join("target/release");
    let path = env::var("PATH").unwrap_or_default();
    let mut command = process::Command::new("sh");
    command
        .args(["-c", &format!("exec {}", step.command)])
        .current_dir(folder)
        .env("PATH", format!("{}:{path}", built.display()))
        .env_remove("CARGO_TARGET_DIR");
    command
}

/// Runs a command to its end. Returns its exit code and the lines that it printed.
fn run(step: &Step) -> (i32, Vec<String>) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("output");
    let output = fs::File::create(&file).unwrap();
    let mut child = shell(step)
        .stdin(process::Stdio::null())
        .stdout(output.try_clone().unwrap())
        .stderr(output)
        .spawn()
        .unwrap();
    let began = time::Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        if began.elapsed() > COMMAND_TIMEOUT {
            let _ = child.kill();
            panic!("{}: {} does not end", step.page, step.command);
        }
        thread::sleep(time::Duration::from_millis(20));
    };
    let text = fs::read_to_string(&file).unwrap();
    (
        status.code().unwrap_or(-1),
        text.lines().map(str::to_owned).collect(),
    )
}

/// Starts a program that runs until the end of the test, once it has printed its first line.
fn start(step: &Step) -> Background {
    let mut child = shell(step).stdout(process::Stdio::piped()).spawn().unwrap();
    let mut lines = io::BufReader::new(child.stdout.take().unwrap()).lines();
    let first = lines.next();
    assert!(
        first.is_some_and(|line| line.is_ok()),
        "{}: {} has ended",
        step.page,
        step.command
    );
    // The pipe is read on, so that the program is not stopped by it.
    thread::spawn(move || lines.for_each(drop));
    Background(child)
}

/// The words of a line of the shell, without their quotes.
fn words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quote = None;
    for letter in line.chars() {
        match (quote, letter) {
            (None, ' ') => words.push(String::new()),
            (None, '\'' | '"') => quote = Some(letter),
            (Some(open), _) if open == letter => quote = None,
            _ => words.last_mut().expect("a word").push(letter),
        }
    }
    words
}

/// A value without what differs from run to run: the term and the position in a token.
fn comparable(value: &str) -> String {
    let is_number = |part: &str| part.parse::<u64>().is_ok();
    let token = value.split_once('/');
    match token {
        Some((term, position)) if is_number(term) && is_number(position) => "TERM/POSITION".into(),
        _ => value.to_owned(),
    }
}

/// Statements of a printed `psql` session, each with the rows that it is said to return.
fn statements(step: &Step) -> Vec<(String, Vec<Vec<String>>)> {
    let words = words(&step.command);
    let single = words.iter().skip_while(|word| *word != "-c").nth(1);
    let mut statements: Vec<_> = single
        .map(|text| (text.clone(), Vec::new()))
        .into_iter()
        .collect();
    let mut in_rows = false;
    for line in &step.output {
        if let Some((_, statement)) = line.split_once("=> ") {
            statements.push((statement.to_owned(), Vec::new()));
            in_rows = false;
        } else if line.starts_with("--") {
            in_rows = true;
        } else if line.starts_with('(') {
            in_rows = false;
        } else if in_rows {
            let row = line.split('|').map(|value| comparable(value.trim()));
            let (_, rows) = statements.last_mut().expect("a statement");
            rows.push(row.collect());
        }
    }
    statements
}

/// Sends the statements of a printed `psql` session, and compares the rows.
fn run_psql(step: &Step) {
    let words = words(&step.command);
    let value = |flag| {
        let value = words.iter().skip_while(|word| *word != flag).nth(1);
        value.unwrap_or_else(|| panic!("{}: no {flag}", step.command))
    };
    let database = words.iter().find(|word| *word == "dome_sched").unwrap();
    let parameters = format!(
        "host={} port={} user={} dbname={database}",
        value("-h"),
        value("-p"),
        value("-U")
    );
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let connected = tokio_postgres::connect(&parameters, tokio_postgres::NoTls).await;
        let (client, connection) = connected.unwrap();
        tokio::spawn(connection);
        for (statement, expected) in statements(step) {
            let answer = client.simple_query(&statement).await;
            let answer =
                answer.unwrap_or_else(|error| panic!("{}: {statement}: {error}", step.page));
            let rows = answer.iter().filter_map(|message| match message {
                tokio_postgres::SimpleQueryMessage::Row(row) => Some(row),
                _ => None,
            });
            let columns = |row: &tokio_postgres::SimpleQueryRow| -> Vec<String> {
                (0..row.len())
                    .map(|column| comparable(row.get(column).unwrap_or_default()))
                    .collect()
            };
            let rows: Vec<_> = rows.map(columns).collect();
            assert_eq!(rows, expected, "{}: {statement}", step.page);
        }
    });
}

/// Whether the printed lines of a command are compared. Those of a build differ from run to run, and
/// so do the times and positions that the lab tells.
fn is_compared(step: &Step) -> bool {
    match step.program() {
        "cargo" => step.command.contains(" --quiet "),
        program => program != "ls",
    }
}

fn check(step: &Step, last_code: &mut i32) {
    if step.command == "echo $?" {
        assert_eq!([last_code.to_string()], step.output[..], "{}", step.page);
        *last_code = 0;
        return;
    }
    assert_eq!(*last_code, 0, "{}: a command has failed", step.page);
    if step.program() == "psql" {
        return run_psql(step);
    }
    let (code, printed) = run(step);
    *last_code = code;
    if is_compared(step) {
        assert_eq!(printed, step.output, "{}: {}", step.page, step.command);
    }
    assert!(
        code == 0 || is_compared(step),
        "{}: {} ends with {code}: {printed:#?}",
        step.page,
        step.command
    );
}

/// Guards against printed commands that fail, or print something else, for somebody who follows the
/// pages on a fresh checkout.
#[test]
#[ignore = "builds the release profile; .ci/run runs it by itself"]
fn printed_commands_work() {
    let mut demo = None;
    let mut platform = None;
    let mut ran = 0;
    for page in PAGES {
        let mut last_code = 0;
        let mut skipped = false;
        for step in steps(page) {
            if step.command == "echo $?" && skipped {
                continue;
            }
            skipped = step.reason_to_skip().is_some();
            if let Some(reason) = step.reason_to_skip() {
                println!("{page}: {} is not run: {reason}", step.command);
                continue;
            }
            println!("{page}: {}", step.command);
            ran += 1;
            if step.command.ends_with(" demo") {
                let command = format!("{} --for {DEMO_DURATION}", step.command);
                demo = Some(start(&Step { command, ..step }));
                continue;
            }
            if step.command.contains(PLATFORM) && platform.is_none() {
                let command = format!("mangotray-lab platform --listen {PLATFORM}");
                platform = Some(start(&Step {
                    command,
                    ..step.clone()
                }));
            }
            check(&step, &mut last_code);
        }
        assert_eq!(last_code, 0, "{page}: the last command has failed");
    }
    assert!(demo.is_some() && platform.is_some());
    assert!(ran >= 14, "{ran} commands ran");
}

/// Guards against an exception that hides a command which could run.
#[test]
fn every_exception_is_printed_on_a_page() {
    let printed: Vec<_> = PAGES.into_iter().flat_map(steps).collect();
    for (start, _) in EXCEPTIONS {
        let is_printed = printed.iter().any(|step| step.command.starts_with(start));
        assert!(is_printed, "no page prints {start}");
    }
}
