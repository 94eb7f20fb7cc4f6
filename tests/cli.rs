//! Drives the real programs as an operator would.

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

/// Looks for a change that happens in the background, and the pause between them.
const TRIES: usize = 600;
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// Address on which nobody listens: a port that needs rights and has no service.
const NOBODY: &str = "127.0.0.1:1";

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

/// A stand-in for the platform, served on a thread of its own until it is dropped.
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
            // The channel is closed to end the thread, never written to.
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

    fn proxy(&self, name: &str) -> daemon::Daemon {
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

#[test]
fn the_status_of_a_proxy_is_found_by_its_address_alone() {
    let platform = Platform::start();
    let proxy = platform.proxy("entry-7");
    let admin = proxy.admin_address().to_string();
    let environment = Environment::new();
    let run = environment.client(&["status", "--admin", &admin, "--admin", NOBODY]);
    proxy.crash();
    assert_eq!(run.code, 6, "{run:?}");
    assert!(run.out.contains("entry-7"), "{run:?}");
    assert!(run.err.contains("no configuration is in force"), "{run:?}");
    assert!(run.err.contains("no status"), "{run:?}");
}

#[test]
fn registered_proxies_are_listed_as_json() {
    let platform = Platform::start();
    let proxies = ["entry-1", "entry-2"].map(|name| platform.proxy(name));
    let environment = Environment::new();
    let arguments = ["status", "--json", "--platform", &platform.address()];
    let names = |run: &Run| -> Vec<String> {
        let overview: serde_json::Value = serde_json::from_str(&run.out).unwrap();
        let vms = overview["vms"].as_array().unwrap().iter();
        vms.map(|vm| vm["status"]["vm"].as_str().unwrap().to_owned())
            .collect()
    };
    // A proxy registers in the background after it has started to listen.
    let listed = (0..TRIES).find_map(|_| {
        let run = environment.client(&arguments);
        let all = names(&run) == ["entry-1", "entry-2"];
        all.then_some(run).or_else(|| {
            thread::sleep(PAUSE);
            None
        })
    });
    proxies.into_iter().for_each(daemon::Daemon::crash);
    assert_eq!(listed.expect("both proxies are registered").code, 6);
}

// Symptom: callers see cut connections at each restart. Events: the platform ends a VM with
// SIGTERM. Cause: a process that dies of the signal instead of draining.
#[test]
fn a_terminated_daemon_drains_and_succeeds() {
    let platform = Platform::start();
    let environment = Environment::new().with("vm.ini", SETTINGS);
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

// Symptom: a status that hangs or looks healthy. Events: the platform's service is down.
// Cause: a client that takes an empty list for the whole truth.
#[test]
fn a_status_without_a_platform_is_unreachable() {
    let run = Environment::new().client(&["status", "--platform", NOBODY]);
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.err.contains("cannot list the proxies"), "{run:?}");
    assert!(!run.err.contains("no proxy is registered"), "{run:?}");
    let run = Environment::new().client(&["status"]);
    assert_eq!(run.code, 2, "{run:?}");
}

#[test]
fn a_statement_is_explained() {
    let file = format!("{CATALOG}[age dome-1 calendar]\ntables = shows\nlimit = 5s\n");
    let environment = Environment::new().with("system.ini", &file);
    let base = ["explain", "SELECT * FROM shows", "--database"];
    let run = environment.client(&[&base[..], &["dome"]].concat());
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.starts_with("class: read\n"), "{run:?}");
    let run = environment.client(&[&base[..], &["dome", "--file", "system.ini"]].concat());
    assert!(run.out.contains("age: may be 5s old"), "{run:?}");
    let run = environment.client(&[&base[..], &["none", "--file", "system.ini"]].concat());
    assert_eq!(run.code, 3, "{run:?}");
}

#[test]
fn an_applied_file_is_in_force_until_the_next() {
    let platform = Platform::start();
    let address = platform.address();
    let environment = Environment::new()
        .with("system.ini", CATALOG)
        .with("next.ini", &CATALOG.replace("slots = 3", "slots = 4"));
    let client =
        |command: &str, file: &str| environment.client(&[command, file, "--platform", &address]);
    let nothing = client("diff", "system.ini");
    assert_eq!(nothing.out, "no file is in force\n+ group dome-1\n");
    let first = client("apply", "system.ini");
    assert_eq!((first.code, first.err.as_str()), (0, ""));
    assert_eq!(
        first.out,
        "+ group dome-1\nsystem.ini is in force as revision 1\n"
    );
    let again = client("apply", "system.ini");
    assert_eq!(
        again.out,
        "system.ini was in force already, as revision 1\n"
    );
    let changes = client("diff", "next.ini");
    assert!(
        changes.out.ends_with("~ group dome-1: slots 3 -> 4\n"),
        "{changes:?}"
    );
    let second = client("apply", "next.ini");
    assert!(
        second.out.ends_with("next.ini is in force as revision 2\n"),
        "{second:?}"
    );
    let same = client("diff", "next.ini");
    assert!(same.out.ends_with("no change\n"), "{same:?}");
}

// Symptom: a file that nobody remembers being replaced. Events: two operators start from
// revision 1; one applies, then the other. Cause: the second write goes over the first.
#[test]
fn an_apply_from_an_old_revision_is_a_conflict() {
    let platform = Platform::start();
    let address = platform.address();
    let environment = Environment::new()
        .with("one.ini", CATALOG)
        .with("two.ini", &CATALOG.replace("slots = 3", "slots = 4"))
        .with("three.ini", &CATALOG.replace("slots = 3", "slots = 5"));
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
        environment.client(&arguments)
    };
    assert_eq!(apply("one.ini", "asha", "0").code, 0);
    assert_eq!(apply("two.ini", "asha", "1").code, 0);
    let lost = apply("three.ini", "binh", "1");
    assert_eq!((lost.code, lost.out.as_str()), (4, ""), "{lost:?}");
    let words = "revision 2 by asha is in force instead; nothing was changed";
    assert!(lost.err.contains(words), "{lost:?}");
    assert!(lost.err.contains("-slots = 4\n+slots = 5"), "{lost:?}");
    let found = environment.client(&["diff", "two.ini", "--platform", &address]);
    assert_eq!(found.out, "revision 2 by asha\nno change\n");
}

#[test]
fn a_file_with_mistakes_is_not_applied() {
    let platform = Platform::start();
    let address = platform.address();
    let environment = Environment::new()
        .with("bad.ini", &CATALOG.replace("slots = 3", "slots = 0"))
        .with("good.ini", CATALOG);
    let refused = environment.client(&["apply", "bad.ini", "--platform", &address]);
    assert_eq!(refused.code, 3, "{refused:?}");
    let found = environment.client(&["diff", "good.ini", "--platform", &address]);
    assert!(found.out.starts_with("no file is in force"), "{found:?}");
}

#[test]
fn an_apply_in_an_outage_changes_nothing() {
    let platform = Platform::start();
    let address = platform.address();
    let environment = Environment::new().with("system.ini", CATALOG);
    let arguments = ["apply", "system.ini", "--platform", &address];
    platform.service.set_outage(true);
    let refused = environment.client(&arguments);
    assert_eq!((refused.code, refused.out.as_str()), (5, ""), "{refused:?}");
    assert!(refused.err.contains("nothing was changed"), "{refused:?}");
    platform.service.set_outage(false);
    let applied = environment.client(&arguments);
    assert!(
        applied.out.ends_with("in force as revision 1\n"),
        "{applied:?}"
    );
}

#[test]
fn an_applied_file_reaches_a_running_proxy() {
    let platform = Platform::start();
    let proxy = platform.proxy("entry-1");
    let admin = proxy.admin_address().to_string();
    let environment = Environment::new().with("system.ini", CATALOG);
    let applied = environment.client(&["apply", "system.ini", "--platform", &platform.address()]);
    assert_eq!(applied.code, 0, "{applied:?}");
    let reached = (0..TRIES).find_map(|_| {
        let run = environment.client(&["status", "--admin", &admin]);
        let reached = run.out.contains("group dome-1: ");
        reached.then_some(run).or_else(|| {
            thread::sleep(PAUSE);
            None
        })
    });
    proxy.crash();
    // Nobody listens at the declared addresses.
    let reached = reached.expect("the proxy follows the file");
    assert_eq!(reached.code, 6, "{reached:?}");
    assert!(
        reached.err.contains("dome-1: no primary is known"),
        "{reached:?}"
    );
}
