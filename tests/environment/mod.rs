//! A whole system for end-to-end tests: simulated platform and instances in this process,
//! each proxy in a process of its own.

use std::fs;
use std::io;
use std::io::BufRead;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use mangotray::apply;
use mangotray::catalog;
use mangotray::declaration;
use mangotray::enrol;
use mangotray_lab::cluster;
use mangotray_lab::platform;

/// Number of the next environment's directory, unique in this process.
static NEXT_DIRECTORY: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// Platform, instances and proxies. Dropping it ends them all.
pub struct Environment {
    pub platform: sync::Arc<platform::Platform>,
    pub cluster: sync::Arc<cluster::Cluster>,
    pub proxies: Vec<Proxy>,
    directory: path::PathBuf,
    stop: async_channel::Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// A proxy process and its address for callers.
pub struct Proxy {
    pub callers: net::SocketAddr,
    child: process::Child,
}

impl Environment {
    /// Starts platform, instances and the given number of proxies, and applies the group.
    pub fn start(proxies: usize, options: cluster::Options) -> Self {
        let executor = sync::Arc::new(async_executor::Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let threads = (0..2)
            .map(|_| spawn_executor_thread(&executor, &stopped))
            .collect();
        let platform = platform::Platform::start(platform::Options::default(), &executor).unwrap();
        let cluster = cluster::Cluster::start(options, &executor).unwrap();
        let number = NEXT_DIRECTORY.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("environment-{}-{number}", process::id());
        let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        let mut environment = Self {
            platform,
            cluster,
            proxies: Vec::new(),
            directory,
            stop,
            threads,
        };
        for index in 0..proxies {
            let proxy = environment.spawn(index);
            environment.proxies.push(proxy);
        }
        environment.apply();
        environment
    }

    /// Applies the group with the operators' program.
    pub fn apply(&self) {
        self.apply_leaving(None);
    }

    /// Applies the group with one instance marked as leaving.
    #[allow(dead_code)]
    pub fn apply_leaving(&self, leaving: Option<usize>) {
        let mut declaration = self.cluster.declaration();
        if let Some(index) = leaving {
            declaration.instances[index].leaving = true;
        }
        let catalog = catalog::Catalog {
            groups: vec![declaration],
            vms: Vec::new(),
        };
        let file = self.directory.join("catalog.ini");
        fs::write(&file, declaration::render(&catalog)).unwrap();
        let output = process::Command::new(env!("CARGO_BIN_EXE_mangotray"))
            .arg("apply")
            .arg(&file)
            .args(["--platform", &self.platform.address().to_string()])
            .output()
            .unwrap();
        assert!(output.status.success(), "apply: {output:?}");
    }

    /// Returns the text of the file that declares the group.
    #[allow(dead_code)]
    pub fn catalog_text(&self) -> String {
        let catalog = catalog::Catalog {
            groups: vec![self.cluster.declaration()],
            vms: Vec::new(),
        };
        declaration::render(&catalog)
    }

    /// Writes a file into this environment's directory and returns its path.
    #[allow(dead_code)]
    pub fn write_file(&self, name: &str, content: &str) -> path::PathBuf {
        let file = self.directory.join(name);
        fs::write(&file, content).unwrap();
        file
    }

    /// Returns the operators' file that is stored on the platform.
    #[allow(dead_code)]
    pub fn stored_file(&self) -> apply::File {
        let entries = self.platform.entries();
        let entry = entries.iter().find(|entry| entry.key == apply::KEY);
        apply::File::decode(&entry.unwrap().value).unwrap()
    }

    /// Returns the registrations of the running proxies.
    #[allow(dead_code)]
    pub fn records(&self) -> Vec<enrol::Record> {
        let entries = self.platform.entries().into_iter();
        entries
            .filter(|entry| entry.key.starts_with(enrol::KEY_PREFIX))
            .map(|entry| serde_json::from_slice(&entry.value).unwrap())
            .collect()
    }

    /// Starts one more proxy process.
    pub fn spawn(&self, index: usize) -> Proxy {
        self.spawn_with(index, &[])
    }

    /// Starts one more proxy process with the given peers in its settings.
    pub fn spawn_with(&self, index: usize, seeds: &[net::SocketAddr]) -> Proxy {
        let domain = &self.cluster.declaration().instances[index % 3].domain;
        let settings = format!(
            "[vm]\nname = entry-{index}\nfailure_domain = {domain}\n\
             [listen]\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\naddress = {}\n[log]\nfilter = warn\n{}",
            self.platform.address(),
            peers_section(seeds)
        );
        let file = self.directory.join(format!("entry-{index}.ini"));
        fs::write(&file, settings).unwrap();
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_mangotrayd"))
            .arg("--settings")
            .arg(&file)
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let out = child.stdout.take().unwrap();
        io::BufReader::new(out).read_line(&mut line).unwrap();
        let callers = line.rsplit(' ').next().unwrap().trim().parse().unwrap();
        Proxy { callers, child }
    }

    /// Returns the index of the primary with the highest term.
    #[allow(dead_code)]
    pub fn primary(&self) -> Option<usize> {
        (0..3)
            .map(|index| (index, self.cluster.status(index)))
            .filter(|(_, status)| status.role == mangotray::role::Role::Primary)
            .max_by_key(|(_, status)| status.fence)
            .map(|(index, _)| index)
    }
}

impl Proxy {
    /// Asks the process to drain and waits for its end.
    #[allow(dead_code)]
    pub fn terminate(&mut self) -> process::ExitStatus {
        let id = self.child.id().to_string();
        process::Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .unwrap();
        self.child.wait().unwrap()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        self.proxies.iter_mut().for_each(Proxy::kill);
        self.stop.close();
        self.threads
            .drain(..)
            .for_each(|thread| thread.join().unwrap());
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Returns the section of the settings that lists peers; empty without peers.
fn peers_section(seeds: &[net::SocketAddr]) -> String {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    match seeds.as_slice() {
        [] => String::new(),
        seeds => format!("[peers]\nseeds = {}\n", seeds.join(", ")),
    }
}

fn spawn_executor_thread(
    executor: &sync::Arc<async_executor::Executor<'static>>,
    stopped: &async_channel::Receiver<()>,
) -> thread::JoinHandle<()> {
    let executor = executor.clone();
    let stopped = stopped.clone();
    thread::spawn(move || {
        let _ = async_io::block_on(executor.run(stopped.recv()));
    })
}

/// Runs a future of a test's callers on a Tokio runtime, which their driver needs.
pub fn block_on<T>(task: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(task)
}

/// Connects a caller; retries while the proxy has no configuration yet.
pub async fn connect(address: net::SocketAddr, database: &str) -> tokio_postgres::Client {
    let parameters = format!(
        "host={} port={} user=desk dbname={database}",
        address.ip(),
        address.port()
    );
    let deadline = time::Instant::now() + time::Duration::from_secs(20);
    loop {
        match tokio_postgres::connect(&parameters, tokio_postgres::NoTls).await {
            Ok((client, connection)) => {
                tokio::spawn(connection);
                return client;
            }
            Err(error) if time::Instant::now() > deadline => panic!("no connection: {error}"),
            Err(_) => tokio::time::sleep(time::Duration::from_millis(50)).await,
        }
    }
}
