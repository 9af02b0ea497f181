//! The hosts of a small deployment as processes of the deploy file's program: three control and three entry hosts, in
//! three zones, each on a loopback address of its own.

use crate::executor::host_header;
use crate::http;
use crate::json::Json;
use crate::proxy::Proxy;
use crate::record::Record;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/mangogw-platform";
pub const ZONES: [&str; 3] = ["cheongju-a", "osong-b", "jincheon-c"];
const METRICS_PORT: u16 = 9464;

struct Host {
    name: String,
    ip: Ipv4Addr,
    zone: &'static str,
    control: bool,
    child: Option<Child>,
}

pub struct Hosts {
    record: Arc<Record>,
    folder: PathBuf,
    net: [u8; 2],
    list: Vec<Host>,
    ports: [u16; 4],
    bounds: String,
    /// Stands between the hosts, where they may be cut off from each other.
    pub proxy: Option<Arc<Proxy>>,
}

/// Exit code of a script that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(2);
}

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that the script has started.
pub fn kill_all() {
    let ids = std::mem::take(&mut *RUNNING.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    for id in ids {
        let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {id}")).status();
    }
}

fn random() -> u64 {
    let mut bytes = [0; 8];
    let mut file = fs::File::open("/dev/urandom").expect("random numbers");
    std::io::Read::read_exact(&mut file, &mut bytes).expect("random numbers");
    u64::from_le_bytes(bytes)
}

impl Hosts {
    /// Starts all hosts. `bounds` are lines that differ from the usual bounds of the settings.
    pub fn start(record: &Arc<Record>, bounds: &str, cuttable: bool) -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{:016x}", random()));
        fs::create_dir(&folder).expect("a temporary folder");
        let (net, ports) = (0..100)
            .find_map(|_| {
                let [a, b, c, d, ..] = random().to_le_bytes();
                let net = [64 + a % 128, b];
                let base = 20_000 + u16::from_le_bytes([c, d]) % 8000;
                let ports = [base, base + 20, base + 21, base + 22];
                let all = ports.iter().chain([&METRICS_PORT]);
                let free = |ip| all.clone().all(|port| TcpListener::bind((ip, *port)).is_ok());
                (1..=6).all(|host| free(Ipv4Addr::new(127, net[0], net[1], host))).then_some((net, ports))
            })
            .unwrap_or_else(|| cannot_run("no free ports"));
        let mut list = Vec::new();
        for (control, kind) in [(true, "core"), (false, "edge")] {
            for (at, zone) in ZONES.into_iter().enumerate() {
                let ip = Ipv4Addr::new(127, net[0], net[1], at as u8 + if control { 1 } else { 4 });
                list.push(Host { name: format!("{kind}-{zone}-1"), ip, zone, control, child: None });
            }
        }
        let mut hosts =
            Self { record: Arc::clone(record), folder, net, list, ports, bounds: bounds.to_owned(), proxy: None };
        if cuttable {
            let end = |at: usize| (hosts.list[at].ip, hosts.peer_port(at, true), hosts.list[at].zone);
            hosts.proxy = Some(Proxy::spawn(&(0..6).map(end).collect::<Vec<_>>()));
        }
        (0..6).for_each(|at| hosts.spawn(at, true));
        hosts
    }

    /// Returns the address of the executor `number`.
    pub fn executor_ip(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], 10 + number as u8)
    }

    /// Returns the internal port of a host: the same for all, or one of its own where proxies stand between them.
    fn peer_port(&self, at: usize, cuttable: bool) -> u16 {
        if cuttable { self.ports[0] + 1 + at as u16 } else { self.ports[0] }
    }

    pub fn zone(&self, at: usize) -> &'static str {
        self.list[at].zone
    }

    /// Returns the control host that leads, by its own metrics.
    pub fn leader(&self) -> Option<usize> {
        (0..3).find(|at| {
            let to = SocketAddr::from((self.list[*at].ip, METRICS_PORT));
            let page = http::call(to, "GET", "/metrics", &host_header(to), "", Duration::from_millis(500));
            page.is_some_and(|(_, text)| text.lines().any(|line| line == "mangogw_leader 1"))
        })
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.list.iter().filter(|host| host.control).map(|host| SocketAddr::from((host.ip, self.ports[1]))).collect()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.list.iter().filter(|host| !host.control).map(|host| SocketAddr::from((host.ip, self.ports[2]))).collect()
    }

    pub fn spawn(&mut self, at: usize, first: bool) {
        let host = &self.list[at];
        let path = self.folder.join(format!("{}.toml", host.name));
        let peers = self.peer_port(at, self.proxy.is_some());
        fs::write(&path, self.settings(host, peers, first)).expect("settings can be written");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", host.name)))
            .expect("a log");
        let child = Command::new(PROGRAM)
            .env("MANGOGW_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("{PROGRAM}: {error}")));
        self.record.note(&format!("process {} starts", host.name));
        RUNNING.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(child.id());
        self.list[at].child = Some(child);
    }

    fn settings(&self, host: &Host, peers: u16, first: bool) -> String {
        let Host { name, ip, zone, .. } = host;
        let [_, control, front, readiness] = self.ports;
        let seeds: Vec<String> = self.controls().iter().map(|address| format!("\"{address}\"")).collect();
        let (data, listen, serves, class) = match host.control {
            true => (
                format!("dataDir = \"{}\"\n", self.folder.join(format!("{name}.data")).display()),
                format!("control = \"{ip}:{control}\"\n"),
                "control_plane",
                "core",
            ),
            false => {
                (String::new(), format!("front = \"{ip}:{front}\"\nreadiness = \"{ip}:{readiness}\"\n"), "edge", "edge")
            }
        };
        let (share, memory, fds) = if host.control { (0.5, 256, 4096) } else { (0.25, 260, 4100) };
        format!(
            "nodeName = \"{name}\"\nrole = \"{}\"\nmachineClass = \"{class}\"\nserves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"chungbuk\"\n\
             internalPorts = [{peers},{}]\nseeds = [{}]\nbootstrap = {first}\ninTolerance = {}\n{data}discovery = \"registry\"\nentry = \"vip\"\nheartbeatMs = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\nconfig_mode = \"highest\"\norders = \"invoke\"\n\
             [zones]\ncheongju-a = \"chungbuk\"\nosong-b = \"chungbuk\"\njincheon-c = \"chungbuk\"\n\
             [listenAddrs]\n{listen}\
             [limits]\ncpuShare = {share}\ncores = 1\nmemoryMb = {memory}\nmaxFds = {fds}\nlinkMbps = 1000.0\ndiskMb = 128\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchupS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\n\
             configApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\nrecoveryS = 12\nholdMaxMs = 1000\nstopMs = 50\ngangTimeoutMs = 3000\ncancel_ms = 3000\n\
             visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nresendMs = 1300\n{}",
            if host.control { "control" } else { "entry" },
            peers + 15,
            seeds.join(","),
            host.control,
            self.bounds,
        )
    }

    /// Kills the process of a host with SIGKILL.
    pub fn kill(&mut self, at: usize) {
        let host = &mut self.list[at];
        if let Some(mut child) = host.child.take() {
            RUNNING.lock().unwrap_or_else(std::sync::PoisonError::into_inner).retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("process {} is killed", host.name));
        }
    }

    /// Sends SIGTERM to the process of a host.
    pub fn terminate(&self, at: usize) {
        let host = &self.list[at];
        if let Some(child) = &host.child {
            let done = Command::new("sh").arg("-c").arg(format!("kill -TERM {}", child.id())).status();
            self.record.note(&format!("process {} gets SIGTERM: {}", host.name, done.is_ok_and(|code| code.success())));
        }
    }

    /// Puts a config, at any control host, until it is acknowledged.
    pub fn put(&self, config: &str) {
        let controls = self.controls();
        for at in 0..60 {
            let to = controls[at % 3];
            let response = http::call(to, "POST", "/Config.Put", &host_header(to), config, Duration::from_secs(1));
            if let Some((200, _)) = response {
                self.record.note(&format!("config acknowledged by {to}: {config}"));
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.fail("no config was acknowledged");
    }

    /// Waits until all entry hosts are ready.
    pub fn wait_ready(&self) {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            let ready = self.list.iter().filter(|host| !host.control).all(|host| {
                let to = SocketAddr::from((host.ip, self.ports[3]));
                matches!(http::call(to, "GET", "/readyz", &host_header(to), "", Duration::from_secs(1)), Some((200, _)))
            });
            if ready {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.fail("the entry hosts are not ready");
    }

    pub fn fail(&self, why: &str) -> ! {
        self.record.note(why);
        kill_all();
        let _ = fs::remove_dir_all(&self.folder);
        cannot_run(why)
    }

    /// Keeps the logs beside the record if the variable KEEP names a folder.
    fn keep_logs(&self) {
        if let Some(to) = std::env::var_os("KEEP").map(PathBuf::from) {
            let _ = fs::create_dir_all(&to);
            for host in &self.list {
                let name = format!("{}.log", host.name);
                let _ = fs::copy(self.folder.join(&name), to.join(&name));
            }
        }
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        (0..self.list.len()).for_each(|at| self.kill(at));
        self.keep_logs();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A client of one queue.
#[derive(Clone)]
pub struct Client {
    pub record: Arc<Record>,
    pub fronts: Vec<SocketAddr>,
    pub host: String,
    pub prefix: String,
}

impl Client {
    fn headers(&self, deadline: u64) -> String {
        format!("Host: {}\r\nX-Deadline-Ms: {deadline}\r\n", self.host)
    }

    /// Submits a job until it is accepted or refused, and returns the status of the last answer.
    pub fn submit(&self, id: &str, body: &str, deadline: u64) -> Option<(u16, String)> {
        let path = format!("{}{id}", self.prefix);
        for try_number in 0..5 {
            let to = self.fronts[try_number % self.fronts.len()];
            let headers = self.headers(deadline);
            self.record.note(&format!("POST {path} to {to}: {body}"));
            let response = http::call(to, "POST", &path, &headers, body, Duration::from_millis(deadline));
            self.record.note(&format!("POST {path} answered {response:?}"));
            match response {
                None | Some((502 | 504, _)) => thread::sleep(Duration::from_millis(1300)),
                answered => return answered,
            }
        }
        None
    }

    /// Submits a job that has to be accepted.
    pub fn accept(&self, id: &str, body: &str) {
        for _ in 0..10 {
            if let Some((200..=299, _)) = self.submit(id, body, 1500) {
                return;
            }
            thread::sleep(Duration::from_millis(500));
        }
        self.record.note(&format!("{id} was not accepted"));
    }

    /// Returns the state of a job, as the first host that answers gives it.
    pub fn state(&self, id: &str) -> String {
        let path = format!("{}{id}", self.prefix);
        for at in 0..6 {
            let to = self.fronts[at % self.fronts.len()];
            let response = http::call(to, "GET", &path, &self.headers(1500), "", Duration::from_millis(1500));
            self.record.note(&format!("GET {path} at {to} answered {response:?}"));
            match response {
                Some((200, body)) => {
                    return Json::parse(&body).map(|body| body.get("state").text().to_owned()).unwrap_or_default();
                }
                Some((410, _)) => return "410".to_owned(),
                Some((404, _)) => return "404".to_owned(),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        "no answer".to_owned()
    }
}
