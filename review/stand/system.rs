//! Starts the system as `deploy/system.toml` says, with settings like those of a small deployment, and acts as its
//! platform, operator and clients.

use crate::http;
use crate::json::Json;
use crate::world::{Event, What, World};
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{process, thread};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
/// Sends a signal to a process when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const ZONES: [&str; 3] = ["regina-a", "moose-jaw", "swift-cur"];
pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";

struct Node {
    name: String,
    ip: Ipv4Addr,
    zone: &'static str,
    is_core: bool,
    process: Option<Child>,
}

/// The running system, its stand-ins and the record.
pub struct System {
    pub world: Arc<World>,
    nodes: Vec<Node>,
    port: u16,
    net: [u8; 2],
    folder: PathBuf,
    program: PathBuf,
    pub trouble: bool,
    pub violations: Vec<String>,
}

impl System {
    /// Starts three control hosts and three entry hosts, each in a zone of its own.
    pub fn start(program: &Path) -> io::Result<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.subsec_nanos());
        let net = [20 + (process::id() % 200) as u8, (now / 1000 % 250) as u8];
        let port = free_port(net)?;
        let folder = std::env::temp_dir().join(format!("mangogw-review-{}-{}", process::id(), net[1]));
        fs::create_dir_all(&folder)?;
        let mut nodes = Vec::new();
        for (index, zone) in ZONES.into_iter().enumerate() {
            let node = |class: &str, last: u8, is_core| Node {
                name: format!("{class}-{zone}-1"),
                ip: Ipv4Addr::new(127, net[0], net[1], last + index as u8),
                zone,
                is_core,
                process: None,
            };
            nodes.push(node("core", 16, true));
            nodes.push(node("edge", 32, false));
        }
        nodes.sort_by_key(|node| !node.is_core);
        let control = nodes.iter().filter(|node| node.is_core);
        let control = control.map(|node| SocketAddr::from((node.ip, port + 2))).collect();
        let world = World::new(SERVICE, control);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let mut system = Self {
            world,
            nodes,
            port,
            net,
            folder,
            program: program.to_owned(),
            trouble,
            violations: Vec::new(),
        };
        for node in 0..system.nodes.len() {
            system.spawn(node, true)?;
        }
        Ok(system)
    }

    /// Starts the process of a node, as the platform does; `first` at the first start of the whole system.
    pub fn spawn(&mut self, node: usize, first: bool) -> io::Result<()> {
        let text = self.settings(node, first);
        let node = &mut self.nodes[node];
        let path = self.folder.join(format!("{}.toml", node.name));
        fs::write(&path, text)?;
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{}.log", node.name)))?;
        let mut command = Command::new(&self.program);
        command.env_clear().env("MANGOGW_CONFIG", &path).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        // SAFETY: the call is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        node.process = Some(command.spawn()?);
        let text = format!("platform: starts {}", node.name);
        self.world.note(text);
        Ok(())
    }

    fn settings(&self, node: usize, first: bool) -> String {
        let port = self.port;
        let Node { name, ip, zone, is_core, .. } = &self.nodes[node];
        let seeds: Vec<String> = self.world.control.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (class, serves) = if *is_core { ("core", "control_plane") } else { ("edge", "edge") };
        let listen = match is_core {
            true => format!("control = \"{ip}:{}\"", port + 2),
            false => format!("front = \"{ip}:{port}\"\nreadiness = \"{ip}:{}\"", port + 1),
        };
        let data = match is_core {
            true => format!("dataDir = \"{}\"\n", self.folder.join(name).display()),
            false => String::new(),
        };
        let limits = match is_core {
            true => "cpuShare = 0.5\ncores = 1\nmemoryMb = 256\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128",
            false => "cpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0",
        };
        let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"sask-south\"\n")).collect();
        format!(
            "nodeName = \"{name}\"\nrole = \"{}\"\nmachineClass = \"{class}\"\nserves = [\"{serves}\"]\nip = \"{ip}\"\n\
             zone = \"{zone}\"\nregion = \"sask-south\"\ninternalPorts = [{},{}]\nseeds = [{}]\nbootstrap = {first}\n\
             inTolerance = {is_core}\n{data}discovery = \"registry\"\nentry = \"vip\"\nheartbeatMs = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]\n\
             config_mode = \"highest\"\norders = \"invoke\"\n\n[zones]\n{zones}\n[listenAddrs]\n{listen}\n\n\
             [limits]\n{limits}\n\n[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchupS = 4\n\
             drainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
             maxStretchMs = 5000\nrecoveryS = 12\nholdMaxMs = 1000\nstopMs = 50\ngangTimeoutMs = 3000\n\
             cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarX = 3\n\
             checkpointS = 0.5\nrestoreMs = 250\nnoticeMs = 4500\nmoveS = 1.5\nmaintenanceS = 2\n\
             requireFencing = true\nleaseMs = 3000\nthawMs = 300\npaceMs = 100\nharmMs = 4000\nresendMs = 1300\n",
            if *is_core { "control" } else { "entry" },
            port + 10,
            port + 25,
            seeds.join(","),
        )
    }

    /// Sends a signal to the process of a control node.
    pub fn signal(&mut self, node: usize, signal: i32, name: &str) {
        let Some(process) = &mut self.nodes[node].process else { return };
        // SAFETY: the call has no memory effects; the process was started here and has not been waited for.
        unsafe { kill(process.id() as i32, signal) };
        if signal == SIGKILL {
            drop(process.wait());
            self.nodes[node].process = None;
        }
        self.world.note(format!("TROUBLE: {name} to {}", self.nodes[node].name));
    }

    /// Returns the control node that says in its metrics that it leads.
    pub fn leader(&self) -> Option<usize> {
        (0..3).find(|node| self.metric(*node, "mangogw_leader") == Some(1.0))
    }

    pub fn metric(&self, node: usize, name: &str) -> Option<f64> {
        let address = SocketAddr::from((self.nodes[node].ip, 9464));
        let answer = http::call(address, "GET", "/metrics", &[], "", Duration::from_millis(500)).ok()?;
        let line = answer.body.lines().find(|line| line.starts_with(name) && !line.starts_with('#'))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Adds and starts executors with these labels, in all zones in turn.
    pub fn add_executors(&self, labels: &[&[&str]]) -> io::Result<Vec<usize>> {
        let mut execs = Vec::new();
        for (index, labels) in labels.iter().enumerate() {
            let ip = Ipv4Addr::new(127, self.net[0], self.net[1], 100 + index as u8);
            let address = SocketAddr::from((ip, self.port + 30));
            let exec = self.world.add(&format!("i-{index:08x}"), address, ZONES[index % 3], labels);
            self.world.start(exec, index)?;
            execs.push(exec);
        }
        Ok(execs)
    }

    /// Puts the config until it is acknowledged, and waits until all entry hosts are ready and the leader has heard
    /// all executors.
    pub fn settle(&self, executors: usize, attempts: u32) -> io::Result<()> {
        self.put_config(7, true, attempts)?;
        let deadline = Instant::now() + Duration::from_secs(15);
        loop {
            let ready = |node: &Node| {
                let address = SocketAddr::from((node.ip, self.port + 1));
                let answer = http::call(address, "GET", "/readyz", &[], "", Duration::from_millis(500));
                answer.is_ok_and(|answer| answer.status() == 200)
            };
            let heard = self.leader().and_then(|leader| self.metric(leader, "mangogw_targets_heard"));
            if self.nodes.iter().filter(|node| !node.is_core).all(ready) && heard == Some(executors as f64) {
                self.world.note("platform: all entry hosts are ready, all executors are known");
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(io::Error::other("the system did not become ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Puts a config, with both routes or without the clients' one, until it is acknowledged.
    pub fn put_config(&self, version: u64, both: bool, attempts: u32) -> io::Result<()> {
        let route = |name: &str, host: &str, prefix: &str, priority: u32| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\"type\":\"non_idempotent\",\
                 \"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":{priority},\"service\":\"{SERVICE}\",\
                 \"attempts\":{attempts},\"stretch\":1.6}}"
            )
        };
        let mut routes = vec![route("r-73d3zji", "ficu95.example", "/pufi791/", 2)];
        if both {
            routes.push(route("r-3hwrr6x", HOST, PREFIX, 0));
        }
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\
             \"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"spare\":false}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}}}}",
            routes.join(","),
        );
        let deadline = Instant::now() + Duration::from_secs(15);
        for node in 0.. {
            let address = self.world.control[node % 3];
            let answer = http::call(address, "POST", "/Config.Put", &[], &config, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                break;
            }
            if Instant::now() > deadline {
                return Err(io::Error::other("the config was not acknowledged"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.world.note(format!("operator: config {version} acknowledged"));
        Ok(())
    }

    /// Returns a client that can be used on other threads.
    pub fn client(&self) -> Client {
        let fronts = self.nodes.iter().filter(|node| !node.is_core);
        let fronts = fronts.map(|node| SocketAddr::from((node.ip, self.port))).collect();
        Client { world: Arc::clone(&self.world), fronts }
    }

    /// Notes a broken rule.
    pub fn broken(&mut self, text: String) {
        self.world.note(format!("BROKEN: {text}"));
        self.violations.push(text);
    }

    /// Checks TWICE on all that the executors saw.
    pub fn check_twice(&mut self) {
        let log = self.world.lock().log.clone();
        for text in crate::rules::twice(&log) {
            self.broken(text);
        }
    }

    /// Ends all processes, writes the record, and returns the exit code.
    pub fn finish(mut self, record: &Path) -> io::Result<i32> {
        self.world.stop();
        for node in &mut self.nodes {
            if let Some(process) = &mut node.process {
                drop(process.kill());
                drop(process.wait());
            }
        }
        let mut text = String::new();
        let log = self.world.lock().log.clone();
        for event in &log {
            text += &describe(event);
        }
        text += &format!("disruption: {}\n", if self.trouble { "yes" } else { "no (TROUBLE=0)" });
        for violation in &self.violations {
            text += &format!("BROKEN {violation}\n");
        }
        let verdict = if self.violations.is_empty() { "held" } else { "broken" };
        text += &format!("result: {verdict}, {} violations\n", self.violations.len());
        fs::write(record, text)?;
        match std::env::var("KEEP_LOGS") {
            Ok(_) => println!("logs: {}", self.folder.display()),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
        for violation in self.violations.iter().take(10) {
            println!("BROKEN {violation}");
        }
        println!("{verdict}, {} violations", self.violations.len());
        Ok(i32::from(!self.violations.is_empty()))
    }

    /// Ends all processes and removes the folder after a failure to run.
    pub fn abandon(mut self) {
        self.world.stop();
        for node in &mut self.nodes {
            if let Some(process) = &mut node.process {
                drop(process.kill());
                drop(process.wait());
            }
        }
        println!("logs: {}", self.folder.display());
    }
}

/// A client of one queue.
#[derive(Clone)]
pub struct Client {
    pub world: Arc<World>,
    fronts: Vec<SocketAddr>,
}

impl Client {
    /// Submits a job until it is accepted, as `PROTOCOL.md` says: again at another node after no response, 502 or 504,
    /// and later after 429 or 503. True if it was accepted.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        self.world.note(format!("client: POST {id} {body}"));
        for attempt in 0..10 {
            let front = self.fronts[(attempt + usize::from(id.as_bytes()[15])) % self.fronts.len()];
            let path = format!("{PREFIX}{id}");
            let headers = [("Host", HOST), ("X-Deadline-Ms", "1500")];
            let answer = http::call(front, "POST", &path, &headers, body, Duration::from_millis(1500));
            let status = answer.map_or(0, |answer| answer.status());
            self.world.note(format!("client: POST {id} -> {status}"));
            match status {
                200 => return true,
                429 | 503 => thread::sleep(Duration::from_secs(1)),
                0 | 502 | 504 => thread::sleep(Duration::from_millis(1300)),
                _ => return false,
            }
        }
        false
    }

    /// Reads the state of a job until there is an answer; empty if there was none in 5 s.
    pub fn state(&self, id: &str) -> String {
        for attempt in 0..5 {
            let front = self.fronts[attempt % self.fronts.len()];
            let path = format!("{PREFIX}{id}");
            let headers = [("Host", HOST), ("X-Deadline-Ms", "1000")];
            let answer = http::call(front, "GET", &path, &headers, "", Duration::from_secs(1));
            let Ok(answer) = answer else { continue };
            let state = match answer.status() {
                200 => Json::parse(&answer.body).and_then(|body| body.text("state").map(str::to_owned)),
                410 => Some("410".to_owned()),
                _ => None,
            };
            if let Some(state) = state {
                self.world.note(format!("client: GET {id} -> {state}"));
                return state;
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.world.note(format!("client: GET {id} -> no answer"));
        String::new()
    }
}

fn free_port(net: [u8; 2]) -> io::Result<u16> {
    let first = 20000 + (process::id() % 150) as u16 * 64;
    (0..100)
        .map(|step| first + step * 64)
        .find(|port| {
            [0, 1, 2, 10, 30].into_iter().all(|offset| {
                let address = (IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], 16)), port + offset);
                TcpListener::bind(address).is_ok()
            })
        })
        .ok_or_else(|| io::Error::other("no free ports"))
}

fn describe(event: &Event) -> String {
    let text = match &event.what {
        What::Start { exec, life, task, run } => format!("executor {exec}.{life}: start {task} run {run}"),
        What::End { exec, life, number, task, run, how } => {
            format!("executor {exec}.{life}: end {number} {task} run {run} {how}")
        }
        What::Noted { exec, life, number } => format!("executor {exec}.{life}: ends up to {number} are noted"),
        What::Lapsed { exec, life } => format!("executor {exec}.{life}: lease lapsed"),
        What::Down { exec, life } => format!("executor {exec}.{life}: down"),
        What::Note(text) => text.clone(),
    };
    format!("{:10.1} {text}\n", event.at)
}

/// Flushes what the script prints.
pub fn flush() {
    drop(io::stdout().flush());
}
