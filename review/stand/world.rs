//! Stand-in executors, as `PROTOCOL.md` describes them, and a record of all that they see.

use crate::http::{self, Reader};
use crate::json::Json;
use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HEARTBEAT_MS: u64 = 1500;
pub const HOLD_MAX_MS: u64 = 1000;
pub const GANG_TIMEOUT_MS: u64 = 3000;
/// Ends that one response lists at most.
const ENDS_LISTED: usize = 500;
/// Time that a stop takes; the bound is 50 ms.
const STOP_MS: u64 = 10;

/// Something that happened, with the milliseconds since the start of the script.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: f64,
    pub what: What,
}

#[derive(Debug, Clone)]
pub enum What {
    Start { exec: usize, life: u32, task: String, run: u64 },
    End { exec: usize, life: u32, number: u64, task: String, run: u64, how: &'static str },
    /// Ends up to this number were taken note of.
    Noted { exec: usize, life: u32, number: u64 },
    /// The lease of the executor ran out.
    Lapsed { exec: usize, life: u32 },
    /// The executor went down; what ran there is gone.
    Down { exec: usize, life: u32 },
    Note(String),
}

#[derive(Debug, Clone)]
pub struct Run {
    pub number: u64,
    started: Instant,
    /// Length of the work; `None` for a task that lasts.
    length: Option<Duration>,
    how: &'static str,
    /// Members of its gang; 0 for none.
    gang: usize,
    work_began: Option<Instant>,
    stop_at: Option<Instant>,
}

#[derive(Debug)]
struct EndRow {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Debug)]
pub struct Exec {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub memory: u64,
    pub up: bool,
    pub life: u32,
    pub draining: bool,
    /// The executor is cut off from all machines of the system.
    pub cut: bool,
    /// The executor fails all that it starts.
    pub grey: bool,
    /// A report of this life was acknowledged.
    pub known: bool,
    born: u64,
    clock: Instant,
    fence: u64,
    lease: u64,
    lapsed: bool,
    pub runs: BTreeMap<String, Run>,
    ended: Vec<EndRow>,
    next_end: u64,
    /// Highest run of each task that was started, stopped or ended here.
    highest: HashMap<String, u64>,
    sequence: u64,
    streams: Vec<TcpStream>,
    /// Largest number of ends without a note so far.
    pub most_unnoted: usize,
}

pub struct State {
    pub execs: Vec<Exec>,
    pub log: Vec<Event>,
    stopped: bool,
}

pub struct World {
    state: Mutex<State>,
    changed: Condvar,
    pub begin: Instant,
    pub service: String,
    pub control: Vec<SocketAddr>,
}

impl World {
    pub fn new(service: &str, control: Vec<SocketAddr>) -> Arc<Self> {
        let state = State { execs: Vec::new(), log: Vec::new(), stopped: false };
        let world = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            begin: Instant::now(),
            service: service.to_owned(),
            control,
        });
        let ticker = Arc::clone(&world);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                if !ticker.tick() {
                    return;
                }
            }
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    pub fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64() * 1000.0
    }

    pub fn note(&self, text: impl Into<String>) {
        let mut state = self.lock();
        let at = self.now();
        state.log.push(Event { at, what: What::Note(text.into()) });
    }

    pub fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }

    pub fn add(&self, id: &str, address: SocketAddr, zone: &str, labels: &[&str]) -> usize {
        let exec = Exec {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu: 16000,
            memory: 32768,
            up: false,
            life: 0,
            draining: false,
            cut: false,
            grey: false,
            known: false,
            born: 0,
            clock: Instant::now(),
            fence: 0,
            lease: 0,
            lapsed: true,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest: HashMap::new(),
            sequence: 0,
            streams: Vec::new(),
            most_unnoted: 0,
        };
        let mut state = self.lock();
        state.execs.push(exec);
        state.execs.len() - 1
    }

    /// Starts a new life of an executor, under the id and at the address that it had. `first` is the control node that
    /// it calls first.
    pub fn start(self: &Arc<Self>, exec: usize, first: usize) -> std::io::Result<()> {
        let address = self.lock().execs[exec].address;
        let listener = TcpListener::bind(address)?;
        let life = {
            let mut state = self.lock();
            let at = self.now();
            let target = &mut state.execs[exec];
            target.life += 1;
            target.up = true;
            target.draining = false;
            target.known = false;
            target.born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64);
            target.clock = Instant::now();
            (target.fence, target.lease, target.lapsed, target.next_end, target.sequence) = (0, 0, true, 1, 0);
            target.runs.clear();
            target.ended.clear();
            target.highest.clear();
            let (life, id) = (target.life, target.id.clone());
            state.log.push(Event { at, what: What::Note(format!("executor {id} starts, life {life}")) });
            life
        };
        let world = Arc::clone(self);
        thread::spawn(move || world.accept(exec, life, &listener));
        let world = Arc::clone(self);
        thread::spawn(move || world.heartbeats(exec, life, first));
        Ok(())
    }

    /// Ends a life at once: a crash, or the end of a shutdown.
    pub fn down(&self, exec: usize, why: &str) {
        let address = {
            let mut state = self.lock();
            let at = self.now();
            let target = &mut state.execs[exec];
            target.up = false;
            target.runs.clear();
            for stream in target.streams.drain(..) {
                drop(stream.shutdown(Shutdown::Both));
            }
            let (life, address, id) = (target.life, target.address, target.id.clone());
            state.log.push(Event { at, what: What::Down { exec, life } });
            state.log.push(Event { at, what: What::Note(format!("executor {id} goes down: {why}")) });
            address
        };
        self.changed.notify_all();
        // Wakes the thread that accepts.
        drop(TcpStream::connect_timeout(&address, Duration::from_millis(100)));
    }

    fn is_current(&self, exec: usize, life: u32) -> bool {
        let state = self.lock();
        !state.stopped && state.execs[exec].up && state.execs[exec].life == life
    }

    fn accept(self: Arc<Self>, exec: usize, life: u32, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            if !self.is_current(exec, life) {
                return;
            }
            drop(stream.set_nodelay(true));
            if let Ok(copy) = stream.try_clone() {
                self.lock().execs[exec].streams.push(copy);
            }
            let world = Arc::clone(&self);
            let builder = thread::Builder::new().stack_size(128 * 1024);
            drop(builder.spawn(move || world.serve(exec, life, stream)));
        }
    }

    fn serve(&self, exec: usize, life: u32, mut stream: TcpStream) {
        let mut reader = Reader::default();
        while let Ok(Some(request)) = reader.read(&mut stream) {
            let Some((status, body)) = self.handle(exec, life, &request) else { return };
            if http::write_response(&mut stream, status, &body).is_err() {
                return;
            }
        }
    }

    /// Handles one call; `None` if this life is over.
    fn handle(&self, exec: usize, life: u32, request: &http::Message) -> Option<(u16, String)> {
        let (_, path) = request.method_and_path();
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.lock();
        while state.execs[exec].cut && state.execs[exec].life == life && !state.stopped {
            state = self.changed.wait_timeout(state, Duration::from_millis(50)).expect("no thread panics").0;
        }
        let at = self.now();
        let State { execs, log, stopped } = &mut *state;
        let target = &mut execs[exec];
        if *stopped || !target.up || target.life != life {
            return None;
        }
        if path == "/healthz" {
            return Some((200, "{}".to_owned()));
        }
        if request.header("x-expect-instance").is_some_and(|id| id != target.id) {
            return Some((421, "{}".to_owned()));
        }
        let token = body.number("fencingToken").unwrap_or(0);
        if token < target.fence {
            return Some((409, format!("{{{},\"reason\":\"fence\"}}", target.stamp())));
        }
        target.fence = token;
        match path {
            "/run-start" => {
                let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else { return bad() };
                let until = body.number("deadlineMs").unwrap_or(0);
                let spec = body.text("spec").unwrap_or("");
                let reply = target.run_start(task, run, spec, until);
                if reply == Ok(true) {
                    log.push(Event { at, what: What::Start { exec, life, task: task.to_owned(), run } });
                }
                Some(match reply {
                    Ok(_) => (200, format!("{{{}}}", target.stamp())),
                    Err(reason) => (409, format!("{{{},\"reason\":\"{reason}\"}}", target.stamp())),
                })
            }
            "/run-stop" => {
                let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else { return bad() };
                target.run_stop(task, run);
                Some((200, format!("{{{}}}", target.stamp())))
            }
            "/hold" => {
                let seen = body.number("lastSeen").unwrap_or(0);
                if target.ended.first().is_some_and(|row| row.number <= seen) {
                    log.push(Event { at, what: What::Noted { exec, life, number: seen } });
                }
                target.ended.retain(|row| row.number > seen);
                if let Some(until) = body.number("deadlineMs") {
                    target.extend(until);
                }
                let deadline = Instant::now() + Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2000));
                loop {
                    let target = &state.execs[exec];
                    if state.stopped || !target.up || target.life != life {
                        return None;
                    }
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !target.ended.is_empty() || left.is_zero() {
                        return Some((200, target.listing()));
                    }
                    state = self.changed.wait_timeout(state, left).expect("no thread panics with the lock").0;
                }
            }
            _ => bad(),
        }
    }

    /// Runs what is due on all executors; false once the script is over.
    fn tick(&self) -> bool {
        let mut state = self.lock();
        let at = self.now();
        let now = Instant::now();
        if state.stopped {
            return false;
        }
        let State { execs, log, .. } = &mut *state;
        let mut changed = false;
        let mut present: HashMap<(String, u64), usize> = HashMap::new();
        for target in execs.iter().filter(|target| target.up) {
            for (task, run) in target.runs.iter().filter(|(_, run)| run.gang > 0 && run.stop_at.is_none()) {
                *present.entry((gang_of(task), run.number)).or_default() += 1;
            }
        }
        let mut broken: Vec<(String, u64)> = Vec::new();
        for (exec, target) in execs.iter_mut().enumerate().filter(|(_, target)| target.up) {
            if !target.lapsed && target.clock_ms() > target.lease {
                target.lapsed = true;
                log.push(Event { at, what: What::Lapsed { exec, life: target.life } });
            }
            let lapsed = target.lapsed;
            for run in target.runs.iter_mut() {
                let whole = run.1.gang == 0
                    || present.get(&(gang_of(run.0), run.1.number)).is_some_and(|count| *count >= run.1.gang);
                if whole && run.1.work_began.is_none() {
                    run.1.work_began = Some(now);
                }
            }
            let over = |run: &Run| match (run.stop_at, run.work_began, run.length) {
                _ if lapsed => Some("lapsed"),
                (Some(stop), ..) if now >= stop => Some("stopped"),
                (Some(_), ..) => None,
                (None, Some(began), Some(length)) if now >= began + length => Some(run.how),
                (None, None, _) if now >= run.started + Duration::from_millis(GANG_TIMEOUT_MS) => Some("alone"),
                _ => None,
            };
            let ends: Vec<(String, &'static str)> =
                target.runs.iter().filter_map(|(task, run)| Some((task.clone(), over(run)?))).collect();
            for (task, how) in ends {
                let run = target.runs.remove(&task).expect("it was just found");
                if run.gang > 0 && how != "done" {
                    broken.push((gang_of(&task), run.number));
                }
                log.push(target.end(at, exec, task, run.number, how));
                changed = true;
            }
        }
        // The other members of a gang end with the first that ends other than done.
        for (gang, number) in broken {
            for (exec, target) in execs.iter_mut().enumerate().filter(|(_, target)| target.up) {
                let members: Vec<String> = target
                    .runs
                    .iter()
                    .filter(|(task, run)| run.gang > 0 && run.number == number && gang_of(task) == gang)
                    .map(|(task, _)| task.clone())
                    .collect();
                for task in members {
                    target.runs.remove(&task);
                    log.push(target.end(at, exec, task, number, "broken"));
                }
            }
        }
        drop(state);
        if changed {
            self.changed.notify_all();
        }
        true
    }

    fn heartbeats(&self, exec: usize, life: u32, first: usize) {
        let mut next = first;
        while self.is_current(exec, life) {
            let start = Instant::now();
            self.beat(exec, life, &mut next);
            thread::sleep(Duration::from_millis(HEARTBEAT_MS).saturating_sub(start.elapsed()));
        }
    }

    /// Sends one report to one control node after the other until one acknowledges it.
    fn beat(&self, exec: usize, life: u32, next: &mut usize) {
        for _ in 0..2 * self.control.len() {
            let (path, body) = {
                let mut state = self.lock();
                let target = &mut state.execs[exec];
                if !target.up || target.life != life {
                    return;
                }
                if target.cut {
                    // No response within a second; the next node is called.
                    drop(state);
                    thread::sleep(Duration::from_millis(1000));
                    *next += 1;
                    continue;
                }
                target.sequence += 1;
                let labels: Vec<String> = target.labels.iter().map(|label| format!("\"{label}\"")).collect();
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
                     \"state\":\"{}\",\"coldRemainingMs\":0,\"room\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\
                     \"labels\":[{}],{},\"sequence\":{}}}",
                    self.service,
                    target.address,
                    target.zone,
                    if target.draining { "draining" } else { "ready" },
                    target.cpu,
                    target.memory,
                    labels.join(","),
                    target.stamp(),
                    target.sequence,
                );
                (format!("/Instances.Heartbeat/{}", target.id), body)
            };
            let node = self.control[*next % self.control.len()];
            match http::call(node, "POST", &path, &[], &body, Duration::from_secs(1)) {
                Ok(answer) if answer.status() == 200 => {
                    let mut state = self.lock();
                    if state.execs[exec].life == life {
                        state.execs[exec].known = true;
                    }
                    return;
                }
                _ => *next += 1,
            }
        }
    }

    /// Sends the deregistration of the present life to one control node; true if it was acknowledged within a second.
    /// While the executor is cut off, the request stays in the buffers of the network and arrives `resent` after it was
    /// sent, on a connection that its sender has closed.
    pub fn deregister(self: &Arc<Self>, exec: usize, node: usize, resent: Duration) -> bool {
        let (id, life, born, cut) = {
            let state = self.lock();
            let target = &state.execs[exec];
            (target.id.clone(), target.life, target.born, target.cut)
        };
        self.note(format!("executor {id}, life {life}: sends its deregistration to control node {node}"));
        let path = format!("/Instances.Deregister/{id}");
        let body = format!("{{\"born\":{born}}}");
        let address = self.control[node];
        if cut {
            let world = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(resent);
                world.note(format!("network: the deregistration of {id}, life {life}, arrives at control node {node}"));
                let text = format!(
                    "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if let Ok(mut stream) = TcpStream::connect(address) {
                    drop(std::io::Write::write_all(&mut stream, text.as_bytes()));
                    // The end of the connection follows a round trip later.
                    thread::sleep(Duration::from_millis(5));
                }
            });
            thread::sleep(Duration::from_secs(1));
            self.note("executor: its deregistration is not acknowledged");
            return false;
        }
        let answer = http::call(address, "POST", &path, &[], &body, Duration::from_secs(1));
        let acked = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
        self.note(format!("executor {id}, life {life}: deregistration acknowledged: {acked}"));
        acked
    }
}

fn bad() -> Option<(u16, String)> {
    Some((400, "{}".to_owned()))
}

/// Job, occurrence and step of a task.
pub fn gang_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned()
}

/// A number between 0 and `below` that depends on the task only.
fn spread(task: &str, below: u64) -> u64 {
    let hash = task.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 29)) % below.max(1)
}

impl Exec {
    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    fn stamp(&self) -> String {
        format!("\"clockMs\":{},\"born\":{}", self.clock_ms(), self.born)
    }

    fn extend(&mut self, until: u64) {
        let now = self.clock_ms();
        let until = until.min(now + HOLD_MAX_MS);
        if until > self.lease && until > now {
            self.lease = until;
            self.lapsed = false;
        }
    }

    /// Starts a run. `Ok(true)` if it was not there yet.
    fn run_start(&mut self, task: &str, run: u64, spec: &str, until: u64) -> Result<bool, &'static str> {
        if self.runs.get(task).is_some_and(|known| known.number == run) {
            self.extend(until);
            return Ok(false);
        }
        if self.highest.get(task).is_some_and(|highest| run <= *highest) {
            self.extend(until);
            return Err("old");
        }
        if until <= self.clock_ms() {
            return Err("late");
        }
        self.extend(until);
        self.highest.insert(task.to_owned(), run);
        let step = task.split('.').nth(2).unwrap_or("0");
        let value = |key: &str| -> Option<u64> {
            let key = format!("{key}{step}=");
            spec.split(' ').find_map(|word| word.strip_prefix(&key)?.parse().ok())
        };
        let length = value("ms").map(|ms| Duration::from_millis(ms + spread(task, value("spread").unwrap_or(1))));
        let now = Instant::now();
        let gang = value("gang").unwrap_or(0) as usize;
        let run = Run {
            number: run,
            started: now,
            length,
            how: if self.grey || value("fail").is_some() { "failed" } else { "done" },
            gang,
            work_began: None,
            stop_at: None,
        };
        self.runs.insert(task.to_owned(), run);
        Ok(true)
    }

    fn run_stop(&mut self, task: &str, run: u64) {
        let highest = self.highest.entry(task.to_owned()).or_insert(run);
        *highest = run.max(*highest);
        if let Some(known) = self.runs.get_mut(task).filter(|known| known.number <= run) {
            known.stop_at.get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
        }
    }

    fn end(&mut self, at: f64, exec: usize, task: String, run: u64, how: &'static str) -> Event {
        let number = self.next_end;
        self.next_end += 1;
        self.ended.push(EndRow { number, task: task.clone(), run, how });
        self.most_unnoted = self.most_unnoted.max(self.ended.len());
        Event { at, what: What::End { exec, life: self.life, number, task, run, how } }
    }

    fn listing(&self) -> String {
        let running = self.runs.iter().map(|(task, run)| {
            let percent = match (run.work_began, run.length) {
                (None, _) => 0,
                (Some(_), None) => 100,
                (Some(began), Some(length)) => (began.elapsed().as_millis() * 100 / length.as_millis().max(1)).min(99),
            };
            format!("[\"{task}\",{},\"\",{percent},100]", run.number)
        });
        let running: Vec<String> = running.collect();
        let ended = self.ended.iter().take(ENDS_LISTED);
        let ended = ended.map(|row| format!("[{},\"{}\",{},\"{}\",\"\"]", row.number, row.task, row.run, row.how));
        let ended: Vec<String> = ended.collect();
        format!("{{{},\"running\":[{}],\"ended\":[{}]}}", self.stamp(), running.join(","), ended.join(","))
    }
}
