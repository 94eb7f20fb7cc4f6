//! Drives the real programs as an operator would.

use std::fs;
use std::path;
use std::process;
use std::sync::atomic;

const CATALOG: &str = "[group dome-1]\ndatabase = dome\n\
    instances = a@patan:127.0.0.1:1, b@kirtipur:127.0.0.1:2, c@bhaktapur:127.0.0.1:3\n\
    connections = 20\nslots = 3\ndeadline = 2s\n";

const SETTINGS: &str = "[vm]\nname = entry-1\nfailure_domain = patan-hall\n\
    [listen]\ncallers = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:7000\n";

static NEXT: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// A directory of its own for the files of one test.
struct Environment {
    directory: path::PathBuf,
}

/// What a program printed and how it ended.
#[derive(Debug)]
struct Run {
    code: i32,
    out: String,
    err: String,
}

impl Environment {
    fn new() -> Self {
        let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("cli-{}-{number}", process::id());
        let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        Self { directory }
    }

    fn with(self, file: &str, text: &str) -> Self {
        fs::write(self.directory.join(file), text).unwrap();
        self
    }

    fn client(&self, arguments: &[&str]) -> Run {
        self.run(env!("CARGO_BIN_EXE_mangotray"), arguments)
    }

    fn daemon(&self, arguments: &[&str]) -> Run {
        self.run(env!("CARGO_BIN_EXE_mangotrayd"), arguments)
    }

    fn run(&self, program: &str, arguments: &[&str]) -> Run {
        let output = process::Command::new(program)
            .args(arguments)
            .current_dir(&self.directory)
            .output()
            .unwrap();
        Run {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.directory).unwrap();
    }
}

#[test]
fn a_valid_file_passes_the_check() {
    let run = Environment::new()
        .with("system.ini", CATALOG)
        .client(&["check", "system.ini"]);
    assert_eq!((run.code, run.err.as_str()), (0, ""));
    assert_eq!(
        run.out,
        "system.ini is valid: 1 groups, served by all VMs\n"
    );
}

#[test]
fn all_mistakes_of_a_file_are_printed_at_once() {
    let text = CATALOG
        .replace("dome\n", "two words\n")
        .replace("2s", "soon")
        + "x = y\n";
    let run = Environment::new()
        .with("system.ini", &text)
        .client(&["check", "system.ini"]);
    assert_eq!((run.code, run.out.as_str()), (3, ""));
    let starts = [
        "error: system.ini:2: [group dome-1] database: ",
        "error: system.ini:6: [group dome-1] deadline: ",
        "error: system.ini:7: [group dome-1] x: unknown key",
    ];
    assert_eq!(run.err.lines().count(), starts.len(), "{}", run.err);
    for (line, start) in run.err.lines().zip(starts) {
        assert!(line.starts_with(start), "{line}");
    }
}

#[test]
fn a_warning_does_not_fail_the_check() {
    let run = Environment::new()
        .with("system.ini", &CATALOG.replace("kirtipur", "patan"))
        .client(&["check", "system.ini"]);
    assert_eq!(run.code, 0);
    assert!(
        run.err.starts_with("warning: system.ini:3: "),
        "{}",
        run.err
    );
}

#[test]
fn a_missing_file_is_a_general_error() {
    let run = Environment::new().client(&["check", "system.ini"]);
    assert_eq!(run.code, 1);
    assert!(
        run.err.starts_with("error: cannot read system.ini: "),
        "{}",
        run.err
    );
}

#[test]
fn wrong_usage_has_a_code_of_its_own_and_help_has_none() {
    let environment = Environment::new();
    let wrong = environment.client(&["chekc"]);
    assert_eq!((wrong.code, wrong.out.as_str()), (2, ""));
    let version = environment.client(&["--version"]);
    assert_eq!(version.code, 0);
    assert!(version.out.contains(env!("CARGO_PKG_VERSION")));
    assert_eq!(environment.daemon(&["--help"]).code, 0);
}

#[test]
fn the_daemon_checks_its_settings() {
    let environment = Environment::new()
        .with("vm.ini", SETTINGS)
        .with("bad.ini", "[vm]\nname = a b\n[speed]\n");
    let good = environment.daemon(&["--settings", "vm.ini", "--check"]);
    assert_eq!(
        (good.code, good.out.as_str()),
        (0, "vm.ini is valid: VM entry-1\n")
    );
    let bad = environment.daemon(&["--settings", "bad.ini", "--check"]);
    assert_eq!(bad.code, 3);
    assert_eq!(bad.err.lines().count(), 5, "{}", bad.err);
}

#[test]
fn flags_go_before_the_settings_of_the_file() {
    let environment = Environment::new().with("vm.ini", SETTINGS);
    let check = ["--settings", "vm.ini", "--check", "--name"];
    let named = environment.daemon(&[&check[..], &["entry-2"]].concat());
    assert_eq!(named.out, "vm.ini is valid: VM entry-2\n");
    let wrong = environment.daemon(&[&check[..], &["entry 2"]].concat());
    assert_eq!(wrong.code, 3);
    assert!(
        wrong.err.starts_with("error: command line: [vm] name: "),
        "{}",
        wrong.err
    );
}
