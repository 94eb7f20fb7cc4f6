//! Runs the client and the daemon as an operator would and checks output and exit code.

use std::fs;
use std::io;
use std::io::BufRead;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use mangotray::daemon;
use mangotray::policy;
use mangotray::settings;
use mangotray_lab::platform;

const CATALOG: &str = "[group dome-1]\ndatabase = dome\n\
    instances = a@patan:127.0.0.1:1, b@kirtipur:127.0.0.1:2, c@bhaktapur:127.0.0.1:3\n\
    connections = 20\nslots = 3\ndeadline = 2s\n";

const SETTINGS: &str = "[vm]\nname = entry-1\nfailure_domain = patan-hall\n\
    [listen]\ncallers = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:7000\n";

/// Limit of status checks while a test waits for a change in the background.
const MAX_STATUS_CHECKS: usize = 600;
/// Pause between two status checks.
const STATUS_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Address without a listener: a privileged port that no service uses.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

static NEXT_DIRECTORY: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// A separate directory for the files of one test, removed at its end.
struct Environment {
    directory: path::PathBuf,
}

/// Output and exit code of a program.
#[derive(Debug)]
struct Output {
    exit_code: i32,
    stdout: String,
    stderr: String,
}

impl Environment {
    fn new() -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("cli-{}-{number}", process::id());
        let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        Self { directory }
    }

    fn with_file(self, file: &str, text: &str) -> Self {
        fs::write(self.directory.join(file), text).unwrap();
        self
    }

    fn run_client(&self, arguments: &[&str]) -> Output {
        self.run(env!("CARGO_BIN_EXE_mangotray"), arguments)
    }

    fn run_daemon(&self, arguments: &[&str]) -> Output {
        self.run(env!("CARGO_BIN_EXE_mangotrayd"), arguments)
    }

    fn run(&self, program: &str, arguments: &[&str]) -> Output {
        let output = process::Command::new(program)
            .args(arguments)
            .current_dir(&self.directory)
            .output()
            .unwrap();
        Output {
            exit_code: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.directory).unwrap();
    }
}

/// A simulated platform, served on a separate thread until it is dropped.
struct Platform {
    service: sync::Arc<platform::Platform>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Platform {
    fn start() -> Self {
        let executor = sync::Arc::new(async_executor::Executor::new());
        let service = platform::Platform::start(platform::Options::default(), &executor).unwrap();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = thread::spawn(move || {
            // Nothing is sent; closing the channel ends the thread.
            let _ = async_io::block_on(executor.run(stopped.recv()));
        });
        Self {
            service,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    fn address(&self) -> String {
        self.service.address().to_string()
    }

    fn start_proxy(&self, name: &str) -> daemon::Daemon {
        let text = SETTINGS
            .replace("127.0.0.1:7000", &self.address())
            .replace("entry-1", name)
            .replace(
                "127.0.0.1:0",
                "127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0",
            );
        let settings = settings::Settings::parse(&text).unwrap();
        daemon::Daemon::start(&settings, policy::Policy::Default).unwrap()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        drop(self.stop.take());
        self.thread.take().unwrap().join().unwrap();
    }
}

#[test]
fn a_valid_file_passes_the_check() {
    let run = Environment::new()
        .with_file("system.ini", CATALOG)
        .run_client(&["check", "system.ini"]);
    assert_eq!((run.exit_code, run.stderr.as_str()), (0, ""));
    assert_eq!(
        run.stdout,
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
        .with_file("system.ini", &text)
        .run_client(&["check", "system.ini"]);
    assert_eq!((run.exit_code, run.stdout.as_str()), (3, ""));
    let starts = [
        "error: system.ini:2: [group dome-1] database: ",
        "error: system.ini:6: [group dome-1] deadline: ",
        "error: system.ini:7: [group dome-1] x: unknown key",
    ];
    assert_eq!(run.stderr.lines().count(), starts.len(), "{}", run.stderr);
    for (line, start) in run.stderr.lines().zip(starts) {
        assert!(line.starts_with(start), "{line}");
    }
}

#[test]
fn a_warning_does_not_fail_the_check() {
    let run = Environment::new()
        .with_file("system.ini", &CATALOG.replace("kirtipur", "patan"))
        .run_client(&["check", "system.ini"]);
    assert_eq!(run.exit_code, 0);
    assert!(
        run.stderr.starts_with("warning: system.ini:3: "),
        "{}",
        run.stderr
    );
}

#[test]
fn a_missing_file_is_a_general_error() {
    let run = Environment::new().run_client(&["check", "system.ini"]);
    assert_eq!(run.exit_code, 1);
    assert!(
        run.stderr.starts_with("error: cannot read system.ini: "),
        "{}",
        run.stderr
    );
}

#[test]
fn wrong_usage_exits_with_its_own_code_and_help_succeeds() {
    let environment = Environment::new();
    let wrong = environment.run_client(&["chekc"]);
    assert_eq!((wrong.exit_code, wrong.stdout.as_str()), (2, ""));
    let version = environment.run_client(&["--version"]);
    assert_eq!(version.exit_code, 0);
    assert!(version.stdout.contains(env!("CARGO_PKG_VERSION")));
    assert_eq!(environment.run_daemon(&["--help"]).exit_code, 0);
}

#[test]
fn the_daemon_checks_its_settings() {
    let environment = Environment::new()
        .with_file("vm.ini", SETTINGS)
        .with_file("bad.ini", "[vm]\nname = a b\n[speed]\n");
    let good = environment.run_daemon(&["--settings", "vm.ini", "--check"]);
    assert_eq!(
        (good.exit_code, good.stdout.as_str()),
        (0, "vm.ini is valid: VM entry-1\n")
    );
    let bad = environment.run_daemon(&["--settings", "bad.ini", "--check"]);
    assert_eq!(bad.exit_code, 3);
    assert_eq!(bad.stderr.lines().count(), 5, "{}", bad.stderr);
}

#[test]
fn flags_override_the_settings_of_the_file() {
    let environment = Environment::new().with_file("vm.ini", SETTINGS);
    let check = ["--settings", "vm.ini", "--check", "--name"];
    let named = environment.run_daemon(&[&check[..], &["entry-2"]].concat());
    assert_eq!(named.stdout, "vm.ini is valid: VM entry-2\n");
    let wrong = environment.run_daemon(&[&check[..], &["entry 2"]].concat());
    assert_eq!(wrong.exit_code, 3);
    assert!(
        wrong.stderr.starts_with("error: command line: [vm] name: "),
        "{}",
        wrong.stderr
    );
}

#[test]
fn the_status_of_a_proxy_is_found_by_its_address_alone() {
    let platform = Platform::start();
    let proxy = platform.start_proxy("entry-7");
    let admin = proxy.admin_address().to_string();
    let environment = Environment::new();
    let run = environment.run_client(&["status", "--admin", &admin, "--admin", UNUSED_ADDRESS]);
    proxy.crash();
    assert_eq!(run.exit_code, 6, "{run:?}");
    assert!(run.stdout.contains("entry-7"), "{run:?}");
    assert!(
        run.stderr.contains("no configuration is in force"),
        "{run:?}"
    );
    assert!(run.stderr.contains("no status"), "{run:?}");
}

#[test]
fn registered_proxies_are_listed_as_json() {
    let platform = Platform::start();
    let proxies = ["entry-1", "entry-2"].map(|name| platform.start_proxy(name));
    let environment = Environment::new();
    let arguments = ["status", "--json", "--platform", &platform.address()];
    let names = |run: &Output| -> Vec<String> {
        let overview: serde_json::Value = serde_json::from_str(&run.stdout).unwrap();
        let vms = overview["vms"].as_array().unwrap().iter();
        vms.map(|vm| vm["status"]["vm"].as_str().unwrap().to_owned())
            .collect()
    };
    // A proxy registers in the background after it has started to listen.
    let listed = (0..MAX_STATUS_CHECKS).find_map(|_| {
        let run = environment.run_client(&arguments);
        let all = names(&run) == ["entry-1", "entry-2"];
        all.then_some(run).or_else(|| {
            thread::sleep(STATUS_CHECK_INTERVAL);
            None
        })
    });
    proxies.into_iter().for_each(daemon::Daemon::crash);
    assert_eq!(listed.expect("both proxies are registered").exit_code, 6);
}

// Symptom: callers lose their connections at each restart. Events: the platform ends a VM with
// SIGTERM. Cause: the signal ends the process before it has drained.
#[test]
fn a_terminated_daemon_drains_and_succeeds() {
    let platform = Platform::start();
    let environment = Environment::new().with_file("vm.ini", SETTINGS);
    let mut daemon = process::Command::new(env!("CARGO_BIN_EXE_mangotrayd"))
        .args(["--settings", "vm.ini", "--peers", "127.0.0.1:0"])
        .args(["--admin", "127.0.0.1:0", "--platform", &platform.address()])
        .current_dir(&environment.directory)
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::null())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut out = io::BufReader::new(daemon.stdout.take().unwrap());
    out.read_line(&mut line).unwrap();
    let killed = process::Command::new("kill")
        .args(["-TERM", &daemon.id().to_string()])
        .status()
        .unwrap();
    let ended = daemon.wait().unwrap();
    assert!(line.starts_with("serving callers at 127.0.0.1:"), "{line}");
    assert!(killed.success());
    assert_eq!(ended.code(), Some(0));
}

// Symptom: the status command hangs or reports a healthy system. Events: the service of the
// platform is down. Cause: the client treats a failed request as an empty list of proxies.
#[test]
fn a_status_without_a_platform_is_unreachable() {
    let run = Environment::new().run_client(&["status", "--platform", UNUSED_ADDRESS]);
    assert_eq!(run.exit_code, 5, "{run:?}");
    assert!(run.stderr.contains("cannot list the proxies"), "{run:?}");
    assert!(!run.stderr.contains("no proxy is registered"), "{run:?}");
    let run = Environment::new().run_client(&["status"]);
    assert_eq!(run.exit_code, 2, "{run:?}");
}

#[test]
fn a_statement_is_explained() {
    let file = format!("{CATALOG}[age dome-1 calendar]\ntables = shows\nlimit = 5s\n");
    let environment = Environment::new().with_file("system.ini", &file);
    let base = ["explain", "SELECT * FROM shows", "--database"];
    let run = environment.run_client(&[&base[..], &["dome"]].concat());
    assert_eq!(run.exit_code, 0, "{run:?}");
    assert!(run.stdout.starts_with("class: read\n"), "{run:?}");
    let run = environment.run_client(&[&base[..], &["dome", "--file", "system.ini"]].concat());
    assert!(run.stdout.contains("age: may be 5s old"), "{run:?}");
    let run = environment.run_client(&[&base[..], &["none", "--file", "system.ini"]].concat());
    assert_eq!(run.exit_code, 3, "{run:?}");
}

#[test]
fn an_applied_file_is_in_force_until_the_next() {
    let platform = Platform::start();
    let address = platform.address();
    let environment = Environment::new()
        .with_file("system.ini", CATALOG)
        .with_file("next.ini", &CATALOG.replace("slots = 3", "slots = 4"));
    let client = |command: &str, file: &str| {
        environment.run_client(&[command, file, "--platform", &address])
    };
    let nothing = client("diff", "system.ini");
    assert_eq!(nothing.stdout, "no file is in force\n+ group dome-1\n");
    let first = client("apply", "system.ini");
    assert_eq!((first.exit_code, first.stderr.as_str()), (0, ""));
    assert_eq!(
        first.stdout,
        "+ group dome-1\nsystem.ini is in force as revision 1\n"
    );
    let again = client("apply", "system.ini");
    assert_eq!(
        again.stdout,
        "system.ini was in force already, as revision 1\n"
    );
    let changes = client("diff", "next.ini");
    assert!(
        changes.stdout.ends_with("~ group dome-1: slots 3 -> 4\n"),
        "{changes:?}"
    );
    let second = client("apply", "next.ini");
    assert!(
        second
            .stdout
            .ends_with("next.ini is in force as revision 2\n"),
        "{second:?}"
    );
    let same = client("diff", "next.ini");
    assert!(same.stdout.ends_with("no change\n"), "{same:?}");
}

// Symptom: an applied file is replaced without notice. Events: two operators start from
// revision 1; one applies a file, then the other. Cause: the second overwrites the first.
#[test]
fn an_apply_from_an_old_revision_is_a_conflict() {
    let platform = Platform::start();
    let address = platform.address();
    let environment = Environment::new()
        .with_file("one.ini", CATALOG)
        .with_file("two.ini", &CATALOG.replace("slots = 3", "slots = 4"))
        .with_file("three.ini", &CATALOG.replace("slots = 3", "slots = 5"));
    let apply = |file: &str, by: &str, base: &str| {
        let arguments = [
            "apply",
            file,
            "--platform",
            &address,
            "--by",
            by,
            "--base",
            base,
        ];
        environment.run_client(&arguments)
    };
    assert_eq!(apply("one.ini", "asha", "0").exit_code, 0);
    assert_eq!(apply("two.ini", "asha", "1").exit_code, 0);
    let lost = apply("three.ini", "binh", "1");
    assert_eq!((lost.exit_code, lost.stdout.as_str()), (4, ""), "{lost:?}");
    let words = "revision 2 by asha is in force instead; nothing was changed";
    assert!(lost.stderr.contains(words), "{lost:?}");
    assert!(lost.stderr.contains("-slots = 4\n+slots = 5"), "{lost:?}");
    let found = environment.run_client(&["diff", "two.ini", "--platform", &address]);
    assert_eq!(found.stdout, "revision 2 by asha\nno change\n");
}

#[test]
fn a_file_with_mistakes_is_not_applied() {
    let platform = Platform::start();
    let address = platform.address();
    let environment = Environment::new()
        .with_file("bad.ini", &CATALOG.replace("slots = 3", "slots = 0"))
        .with_file("good.ini", CATALOG);
    let refused = environment.run_client(&["apply", "bad.ini", "--platform", &address]);
    assert_eq!(refused.exit_code, 3, "{refused:?}");
    let found = environment.run_client(&["diff", "good.ini", "--platform", &address]);
    assert!(found.stdout.starts_with("no file is in force"), "{found:?}");
}

#[test]
fn an_apply_in_an_outage_changes_nothing() {
    let platform = Platform::start();
    let address = platform.address();
    let environment = Environment::new().with_file("system.ini", CATALOG);
    let arguments = ["apply", "system.ini", "--platform", &address];
    platform.service.set_outage(true);
    let refused = environment.run_client(&arguments);
    assert_eq!(
        (refused.exit_code, refused.stdout.as_str()),
        (5, ""),
        "{refused:?}"
    );
    assert!(
        refused.stderr.contains("nothing was changed"),
        "{refused:?}"
    );
    platform.service.set_outage(false);
    let applied = environment.run_client(&arguments);
    assert!(
        applied.stdout.ends_with("in force as revision 1\n"),
        "{applied:?}"
    );
}

#[test]
fn an_applied_file_reaches_a_running_proxy() {
    let platform = Platform::start();
    let proxy = platform.start_proxy("entry-1");
    let admin = proxy.admin_address().to_string();
    let environment = Environment::new().with_file("system.ini", CATALOG);
    let applied =
        environment.run_client(&["apply", "system.ini", "--platform", &platform.address()]);
    assert_eq!(applied.exit_code, 0, "{applied:?}");
    let reached = (0..MAX_STATUS_CHECKS).find_map(|_| {
        let run = environment.run_client(&["status", "--admin", &admin]);
        let reached = run.stdout.contains("group dome-1: ");
        reached.then_some(run).or_else(|| {
            thread::sleep(STATUS_CHECK_INTERVAL);
            None
        })
    });
    proxy.crash();
    // There is no listener at the declared addresses, so the group has no primary.
    let reached = reached.expect("the proxy follows the file");
    assert_eq!(reached.exit_code, 6, "{reached:?}");
    assert!(
        reached.stderr.contains("dome-1: no primary is known"),
        "{reached:?}"
    );
}
