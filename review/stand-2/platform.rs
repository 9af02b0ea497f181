//! The platform: settings files, processes of the system, the operator's calls and the clients' calls.

use crate::executor::Executor;
use crate::http::{self, Answer};
use crate::proxy::Proxy;
use crate::world::World;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// Command of both roles in `deploy/system.toml`.
const PROGRAM: &str = "target/release/mangogw-platform";
const ZONES: [&str; 3] = ["regina-a", "moose-jaw", "swift-cur"];
/// Port on which a process listens for other hosts.
const PEER_PORT: u16 = 7720;

/// A machine of the system and its process.
pub struct Node {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub core: bool,
    /// First of the internal ports. It is the same on all machines, but where a proxy stands between them.
    port: u16,
    settings: PathBuf,
    log: PathBuf,
    /// Position of its process among the children of this program.
    child: Option<usize>,
}

impl Node {
    pub fn control(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8166))
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8161))
    }

    fn readiness(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8167))
    }

    fn start(&mut self, world: &World) {
        let log = fs::File::options().create(true).append(true).open(&self.log).expect("the log can be opened");
        let command = Command::new(PROGRAM)
            .env_clear()
            .env("MANGOGW_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn();
        let child = command.expect("the program of the deploy file is built");
        self.child = Some(world.add_child(child));
        world.log(&format!("process {} starts", self.name));
    }

    fn kill(&mut self, world: &World) {
        if let Some(child) = self.child.take() {
            world.kill_child(child);
            world.log(&format!("process {} is killed", self.name));
        }
    }

    /// Returns the lines that the process has written.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// The machines of a small deployment: three core machines and three edge machines in three zones.
pub struct Platform {
    pub world: Arc<World>,
    folder: PathBuf,
    net: u8,
    pub nodes: Vec<Node>,
    pub executors: Vec<Arc<Executor>>,
    pub proxy: Option<Arc<Proxy>>,
}

impl Drop for Platform {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill(&self.world);
        }
        if std::env::var_os("KEEP").is_some() {
            eprintln!("kept {}", self.folder.display());
        } else {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

impl Platform {
    /// Lays out the machines and starts their processes. With `cuttable`, all channels between them pass a proxy.
    pub fn start(world: &Arc<World>, cuttable: bool) -> Result<Self, String> {
        let id = std::process::id();
        let net = (20..250).map(|n| ((n + id % 230) % 230 + 20) as u8).find(|net| is_free(*net));
        let net = net.ok_or("no loopback addresses are free")?;
        let folder = std::env::temp_dir().join(format!("mangogw-review-2-{id}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut nodes = Vec::new();
        for (core, kind) in [(true, "core"), (false, "edge")] {
            for (at, zone) in ZONES.into_iter().enumerate() {
                let (name, ip) = (format!("{kind}-{zone}-1"), Ipv4Addr::new(127, net, at as u8 + 1, if core { 16 } else { 13 }));
                let (settings, log) = (folder.join(format!("{name}.toml")), folder.join(format!("{name}.log")));
                let port = if cuttable { PEER_PORT + 1 + nodes.len() as u16 } else { PEER_PORT };
                nodes.push(Node { name, zone, ip, core, port, settings, log, child: None });
            }
        }
        let proxy = if cuttable {
            let ends: Vec<_> = nodes.iter().map(|node| (node.ip, node.port, node.zone)).collect();
            Some(Proxy::spawn(&ends).map_err(|error| format!("the proxy: {error}"))?)
        } else {
            None
        };
        let mut platform = Self { world: Arc::clone(world), folder, net, nodes, executors: Vec::new(), proxy };
        for at in 0..platform.nodes.len() {
            platform.write_settings(at, true);
            let world = Arc::clone(world);
            platform.nodes[at].start(&world);
        }
        Ok(platform)
    }

    fn write_settings(&self, at: usize, bootstrap: bool) {
        let node = &self.nodes[at];
        let seeds: Vec<String> =
            self.nodes.iter().filter(|node| node.core).map(|node| format!("\"{}\"", node.control())).collect();
        let (class, ip, zone, port) = (if node.core { "core" } else { "edge" }, node.ip, node.zone, node.port);
        let serves = if node.core { "control_plane" } else { "edge" };
        let data = self.folder.join(format!("{}.data", node.name));
        let data = if node.core { format!("dataDir = \"{}\"\n", data.display()) } else { String::new() };
        let listen = match node.core {
            true => format!("control = \"{}\"\n", node.control()),
            false => format!("front = \"{}\"\nreadiness = \"{}\"\n", node.front(), node.readiness()),
        };
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"my-{class}\"\nmachineClass = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"sask-south\"\ninternalPorts = [{port},{last}]\n\
             seeds = [{seeds}]\nbootstrap = {bootstrap}\ninTolerance = {core}\n{data}discovery = \"registry\"\n\
             entry = \"vip\"\nheartbeatMs = 1500\nconfig_mode = \"highest\"\norders = \"invoke\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\n\
             [zones]\nregina-a = \"sask-south\"\nmoose-jaw = \"sask-south\"\nswift-cur = \"sask-south\"\n\
             [listenAddrs]\n{listen}\
             [limits]\ncpuShare = {share}\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchupS = 4\ndrainMs = 2000\ngraceS = 6\n\
             lossSlackMs = 200\nconfigApplyMs = 2000\nrecoveryS = 12\nholdMaxMs = 1000\nstopMs = 50\n\
             gangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n\
             status_s = 120\nfarX = 3\ncheckpointS = 0.5\nrestoreMs = 250\nresendMs = 1300\n",
            name = node.name,
            last = port + 15,
            seeds = seeds.join(","),
            core = node.core,
            share = if node.core { 0.5 } else { 0.25 },
        );
        fs::write(&node.settings, text).expect("settings can be written");
    }

    /// Kills a process with SIGKILL and starts it again after `down`.
    pub fn kill_and_restart(&mut self, at: usize, down: Duration) {
        let world = Arc::clone(&self.world);
        self.nodes[at].kill(&world);
        thread::sleep(down);
        self.write_settings(at, false);
        self.nodes[at].start(&world);
    }

    /// Adds `count` executors, spread over the zones, each of `cpu` thousandths of a core. The last `special` of them are
    /// of the kind `b`, the others of the kind `a`.
    pub fn add_executors(&mut self, count: usize, special: usize, cpu: u64) {
        let controls: Vec<SocketAddr> = self.nodes.iter().filter(|node| node.core).map(Node::control).collect();
        for at in 0..count {
            let address = SocketAddr::from((Ipv4Addr::new(127, self.net, 100, at as u8 + 1), 8080));
            let zone = ZONES[at % ZONES.len()];
            let (kind, rack) = (if at >= count - special { "b" } else { "a" }, format!("r1-{}", at / 8));
            let id = format!("i-{:08x}", 0x7f3a_9100 + at);
            let executor = Executor::spawn(&self.world, &id, address, zone, &[kind, &rack], cpu);
            // Each beats to the node of its own zone first.
            let mut order = controls.clone();
            order.rotate_left(at % ZONES.len());
            *executor.controls.lock().unwrap() = order;
            self.executors.push(executor);
        }
    }

    /// Waits until the system has a config and every edge machine says that it is ready.
    pub fn wait_until_ready(&self, attempts: u32) -> Result<(), String> {
        let config = config(attempts);
        let end = Instant::now() + Duration::from_secs(25);
        let mut acknowledged = false;
        while Instant::now() < end {
            let put = |node: &&Node| self.call(node.control(), "POST", "/Config.Put", &config, 1000).status() == 200;
            if !acknowledged && let Some(node) = self.nodes.iter().filter(|node| node.core).find(put) {
                acknowledged = true;
                self.world.log(&format!("config 7 acknowledged by {}", node.name));
            }
            let edges = || self.nodes.iter().filter(|node| !node.core);
            let ready = edges().all(|node| self.call(node.readiness(), "GET", "/readyz", "", 500).status() == 200);
            if acknowledged && ready {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the system is not ready within 25 s".to_owned())
    }

    fn call(&self, to: SocketAddr, method: &str, path: &str, body: &str, limit: u64) -> Answer {
        http::call(to, method, &to.to_string(), path, "", body, Duration::from_millis(limit))
    }

    /// Returns the addresses at which clients reach the edge machines.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.nodes.iter().filter(|node| !node.core).map(Node::front).collect()
    }

    /// Returns the position of the core machine that leads, by its own log.
    pub fn leader(&self) -> Option<usize> {
        let mut newest: Option<(u64, usize)> = None;
        for (at, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.core) {
            for line in node.output().lines().filter(|line| line.contains("\"board: leading\"")) {
                let token = http::text_field(line, "token").and_then(|token| token.parse().ok());
                let token = token.or_else(|| http::number_field(line, "token")).unwrap_or(0);
                newest = newest.max(Some((token, at)));
            }
        }
        newest.map(|(_, at)| at)
    }
}

/// Sends a job to an edge machine and waits for the response.
pub fn submit(world: &World, to: SocketAddr, id: &str, job: &str, deadline: u64) -> Answer {
    world.log(&format!("POST {id} to {to}"));
    let extra = format!("X-Deadline-Ms: {deadline}\r\n");
    let answer = http::call(to, "POST", HOST, &format!("{PREFIX}{id}"), &extra, job, Duration::from_millis(deadline));
    world.log(&format!("POST {id} to {to}: {answer:?}"));
    answer
}

/// Asks for the state of a job.
pub fn read_state(world: &World, to: SocketAddr, id: &str) -> Answer {
    let answer = http::call(to, "GET", HOST, &format!("{PREFIX}{id}"), "", "", Duration::from_millis(1500));
    world.log(&format!("GET {id} at {to}: {answer:?}"));
    answer
}

fn config(attempts: u32) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\
         \"type\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":0,\
         \"service\":\"candle-desk\",\"attempts\":{attempts},\"stretch\":1.6}}],\"services\":[{{\"name\":\"candle-desk\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforcesCapacity\":false,\"spare\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Returns true if nothing listens at the addresses of the loopback network 127.`net`.
fn is_free(net: u8) -> bool {
    (1..=3).all(|zone| {
        [(16, 8166), (13, 8161), (16, 9464), (13, 9464)]
            .iter()
            .all(|(last, port)| TcpListener::bind((Ipv4Addr::new(127, net, zone, *last), *port)).is_ok())
    })
}
