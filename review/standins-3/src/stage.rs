//! What the scripts have in common: the place of the record, the disruption's switch, a temporary
//! folder, the first desired state, and the exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::instance;
use crate::node;
use crate::store;
use crate::world;

/// Code of a script that could not run.
pub const NOT_RUN: i32 = 2;

pub struct Stage {
    pub world: world::Shared,
    pub store: SocketAddr,
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// Tenants, each with its key; without any, requesters need none.
    pub tenants: Vec<(String, String)>,
    /// `max_conns` of each service.
    pub max_connections: usize,
}

impl Stage {
    /// `NAME RECORD` is the command line.
    pub fn new() -> Self {
        let record = std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".into());
        let world = world::World::new(std::path::Path::new(&record));
        let folder = std::env::temp_dir().join(format!("mangotray-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let store = store::serve(&world);
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        world.note(&format!("BEGIN trouble {trouble}"));
        Self {
            world,
            store,
            folder,
            trouble,
            tenants: Vec::new(),
            max_connections: 23,
        }
    }

    /// A service of one primary (the first) and two replicas, one in each zone.
    pub fn service(&self, group: &str, ids: [&str; 3]) {
        for (number, id) in ids.iter().enumerate() {
            let kind = instance::Kind {
                group,
                zone: ["patan-hall", "kirtipur-hall", "bhaktapur-hall"][number],
                primary: number == 0,
                network: Duration::from_micros(1400),
                apply: Duration::from_millis(20),
                max_connections: self.max_connections,
            };
            instance::start(&self.world, id, &kind);
        }
    }

    /// Writes a desired state. Returns when it was acknowledged.
    pub fn configure(
        &self,
        version: u64,
        routes: &[(&str, &str, &str)],
        services: &[&str],
        sync: usize,
    ) -> Instant {
        let route = |(host, kind, service): &(&str, &str, &str)| {
            let (timeout, slo, priority, age) = match *kind {
                "primary" => (800, 150, 1, 0),
                "bounded_stale" => (2000, 500, 2, 1500),
                _ => (800, 250, 2, 2500),
            };
            let mut route = json!({"name": format!("r-{host}"), "host": host, "prefix": "/", "kind": kind,
                "timeout_ms": timeout, "slo_ms": slo, "priority": priority, "service": service, "attempts": 2});
            if age > 0 {
                route["max_staleness_ms"] = json!(age);
            }
            route
        };
        let routes: Vec<Value> = routes.iter().map(route).collect();
        let service = |name: &&str| {
            json!({"name": name, "health_path": "/health", "max_conns": self.max_connections,
            "protocol": "h1", "tls": false, "sync_replicas": sync})
        };
        let services: Vec<Value> = services.iter().map(service).collect();
        let limits = json!({"max_header_bytes": 16384, "max_body_bytes": 262_144, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000, "tx_idle_ms": 3000});
        self.world.lock().sync = sync;
        let mut state =
            json!({"version": version, "routes": routes, "services": services, "limits": limits});
        if !self.tenants.is_empty() {
            let tenant = |(name, key): &(String, String)| json!({"name": name, "api_keys": [key]});
            state["tenants"] = self.tenants.iter().map(tenant).collect();
        }
        self.world.put("op/config", &state)
    }

    /// Starts nodes and waits until all are ready.
    pub fn nodes(&self, count: usize) -> Vec<node::Node> {
        let zones = ["patan-hall", "kirtipur-hall", "bhaktapur-hall"];
        let make = |number: usize| {
            node::Node::new(
                &format!("front-{}-{number}", zones[number % 3]),
                zones[number % 3],
                self.store,
                &self.folder,
                !self.tenants.is_empty(),
            )
        };
        let mut nodes: Vec<_> = (0..count).map(make).collect();
        nodes.iter_mut().for_each(node::Node::start);
        let until = Instant::now() + Duration::from_secs(10);
        while !nodes.iter().all(node::Node::is_ready) {
            if Instant::now() > until {
                eprintln!("the nodes are not ready");
                self.exit(NOT_RUN, &mut nodes);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.world.note("READY all nodes");
        nodes
    }

    /// Ends all processes and the script. The nodes' logs are kept beside the record if the rule was
    /// broken and `KEEP` is set.
    pub fn exit(&self, code: i32, nodes: &mut [node::Node]) -> ! {
        for node in nodes.iter_mut() {
            node.kill();
        }
        self.world.note(&format!("END {code}"));
        self.world.lock().finished = true;
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
        std::process::exit(code);
    }
}

impl Default for Stage {
    fn default() -> Self {
        Self::new()
    }
}
