//! Stand-in executors: they report, take orders under leases and fencing tokens, and run tasks that only take time.
//!
//! The payload of a job says how long its tasks work: `w0=1200;w1=300` gives the milliseconds of each step; a step
//! without one works until it is stopped.

use crate::http;
use crate::json::Json;
use crate::record::Record;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HEARTBEAT: Duration = Duration::from_millis(1500);
const MAX_LEASE: Duration = Duration::from_millis(1000);
const STOP_TIME: Duration = Duration::from_millis(20);
const MAX_ENDS: usize = 500;
/// `gangTimeoutMs` of the settings.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);

/// Times of the settings that concern executors.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Work between two checkpoints.
    pub checkpoint: Duration,
    /// Time until a run that resumes from a checkpoint goes on.
    pub restore: Duration,
}

#[derive(Debug)]
struct Run {
    task: String,
    number: u64,
    /// Work of the whole task; `None` for one that lasts.
    work: Option<Duration>,
    resume_at: Instant,
    done: Duration,
    /// Progress that is loaded once a checkpoint is restored.
    saved_done: Duration,
    saved: String,
    stop_at: Option<Instant>,
    gang: Option<Gang>,
}

/// A member of a gang.
#[derive(Debug, Clone)]
struct Gang {
    begun: Instant,
    /// Step and run that the members share.
    key: (String, u64),
}

/// The members of one run of a gang, on all executors.
#[derive(Debug, Default)]
struct GangRun {
    present: usize,
    /// Time since which all members are present.
    whole: Option<Instant>,
    broken: bool,
    /// Checkpoint that the first member was started with; members with another one are not present.
    checkpoint: String,
}

type Gangs = Mutex<HashMap<(String, u64), GangRun>>;

fn gangs() -> MutexGuard<'static, HashMap<(String, u64), GangRun>> {
    static GANGS: std::sync::LazyLock<Gangs> = std::sync::LazyLock::new(Gangs::default);
    GANGS.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Run {
    fn percent(&self) -> u64 {
        match self.work {
            None => 100,
            Some(work) => (self.done.as_secs_f64() / work.as_secs_f64() * 100.0).min(99.0) as u64,
        }
    }
}

#[derive(Debug)]
struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

#[derive(Debug)]
struct State {
    alive: bool,
    born: u64,
    boot: Instant,
    settled: Instant,
    token: u64,
    lease: Option<Instant>,
    running: Vec<Run>,
    ended: Vec<Ended>,
    last_end: u64,
    floors: HashMap<String, u64>,
    sequence: u64,
    draining: bool,
    drain_acked: bool,
    cut_off: bool,
    /// Fencing tokens of the hosts that reach the executor while a zone is cut off; it is silent to all others.
    reach: (u64, u64),
    next_heartbeat: Instant,
    streams: Vec<TcpStream>,
}

#[derive(Debug)]
pub struct Executor {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    timing: Timing,
    controls: Mutex<Vec<SocketAddr>>,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Executor {
    #[allow(clippy::too_many_arguments)]
    pub fn spawn(
        record: &Arc<Record>,
        id: &str,
        ip: std::net::Ipv4Addr,
        service: &str,
        zone: &str,
        labels: &[&str],
        timing: Timing,
        controls: Vec<SocketAddr>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let now = Instant::now();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
        let state = State {
            alive: true,
            born,
            boot: now,
            settled: now,
            token: 0,
            lease: None,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            floors: HashMap::new(),
            sequence: 0,
            draining: false,
            drain_acked: false,
            cut_off: false,
            reach: (0, u64::MAX),
            next_heartbeat: now,
            streams: Vec::new(),
        };
        let own = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu: 16_000,
            timing,
            controls: Mutex::new(controls),
            record: Arc::clone(record),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let ticker = Arc::clone(&own);
        thread::spawn(move || {
            while ticker.tick() {
                thread::sleep(Duration::from_millis(2));
            }
        });
        let reporter = Arc::clone(&own);
        thread::spawn(move || reporter.report());
        let server = Arc::clone(&own);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = server.lock();
                if !state.alive {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    state.streams.push(copy);
                }
                drop(state);
                let serving = Arc::clone(&server);
                thread::spawn(move || serving.serve(stream));
            }
        });
        own
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn tick(&self) -> bool {
        let mut state = self.lock();
        if state.alive {
            self.settle(&mut state);
        }
        state.alive
    }

    fn settle(&self, state: &mut State) {
        let now = Instant::now();
        let passed = now - state.settled;
        state.settled = now;
        let lapsed = state.lease.is_some_and(|until| now >= until);
        let every = self.timing.checkpoint;
        let mut over = Vec::new();
        for (at, run) in state.running.iter_mut().enumerate() {
            if now >= run.resume_at && run.gang.is_none() {
                run.done = run.done.max(run.saved_done);
                let before = run.done;
                run.done += passed.min(now - run.resume_at);
                if run.done.as_millis() / every.as_millis() > before.as_millis() / every.as_millis() {
                    run.saved = format!("{:016x}", run.done.as_millis());
                }
            }
            let member = run.gang.as_ref().map(|gang| {
                let gangs = gangs();
                let state = &gangs[&gang.key];
                (gang.begun, state.whole, state.broken)
            });
            if let Some((_, Some(since), _)) = member {
                let restore = if run.saved_done.is_zero() { Duration::ZERO } else { self.timing.restore };
                let before = run.done;
                run.done = run.saved_done + (now - since).saturating_sub(restore);
                if run.done.as_millis() / every.as_millis() > before.max(run.saved_done).as_millis() / every.as_millis()
                {
                    // All members save at the same points of their work.
                    let saved = run.done.as_millis() / every.as_millis() * every.as_millis();
                    run.saved = format!("{saved:016x}");
                }
            }
            let how = match () {
                () if lapsed => "lapsed",
                () if member.is_some_and(|(_, _, broken)| broken) => "broken",
                () if member.is_some_and(|(begun, whole, _)| whole.is_none() && now - begun >= GANG_TIMEOUT) => "alone",
                () if run.stop_at.is_some_and(|stop| now >= stop) => "stopped",
                () if run.work.is_some_and(|work| run.done >= work) => "done",
                () => continue,
            };
            over.push((at, how));
        }
        if lapsed {
            state.lease = None;
        }
        for (at, how) in over.into_iter().rev() {
            let mut run = state.running.remove(at);
            if let Some(gang) = &run.gang {
                let mut gangs = gangs();
                let members = gangs.entry(gang.key.clone()).or_default();
                members.present = members.present.saturating_sub(1);
                members.broken |= members.whole.is_some() && how != "done";
            }
            if how == "stopped" && run.work.is_some() && run.gang.is_none() {
                run.saved = format!("{:016x}", run.done.max(run.saved_done).as_millis());
            }
            state.last_end += 1;
            let floor = state.floors.entry(run.task.clone()).or_default();
            *floor = run.number.max(*floor);
            self.record.end(&self.id, &run.task, run.number, how);
            let number = state.last_end;
            state.ended.push(Ended { number, task: run.task, run: run.number, how, saved: run.saved });
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(copy);
        while let Some(request) = http::read_request(&mut reader) {
            if !self.is_reached() {
                return;
            }
            let Some((status, body)) = self.answer(&request) else { return };
            if !self.is_reached() || !http::respond(&mut stream, status, &body) {
                return;
            }
        }
    }

    fn stamp(state: &State) -> String {
        format!("\"clockMs\":{},\"born\":{}", state.boot.elapsed().as_millis(), state.born)
    }

    fn refuse(state: &State, reason: &str) -> Option<(u16, String)> {
        Some((409, format!("{{{},\"reason\":\"{reason}\"}}", Self::stamp(state))))
    }

    fn answer(&self, request: &http::Request) -> Option<(u16, String)> {
        if request.expected_id.as_ref().is_some_and(|id| *id != self.id) {
            return Some((421, String::new()));
        }
        if request.method == "GET" {
            return Some((200, "{}".to_owned()));
        }
        let body = Json::parse(&request.body)?;
        let mut state = self.lock();
        if !state.alive {
            return None;
        }
        self.settle(&mut state);
        let token = body.get("fencingToken").number().unwrap_or(0);
        if token < state.reach.0 || token > state.reach.1 {
            drop(state);
            thread::sleep(Duration::from_secs(6));
            return None;
        }
        if token < state.token {
            return Self::refuse(&state, "fence");
        }
        state.token = token;
        let (task, number) = (body.get("task").text().to_owned(), body.get("run").number().unwrap_or(0));
        match request.path.as_str() {
            "/run-start" => {
                let until = body.get("deadlineMs").number()?;
                let clock = state.boot.elapsed().as_millis() as u64;
                if until <= clock {
                    return Self::refuse(&state, "late");
                }
                Self::extend(&mut state, until);
                if state.running.iter().any(|run| run.task == task && run.number == number) {
                    return Some((200, format!("{{{}}}", Self::stamp(&state))));
                }
                let floor = state.floors.get(&task).copied().unwrap_or(0);
                let busy = state.running.iter().any(|run| run.task == task && run.number >= number);
                if number <= floor || busy {
                    return Self::refuse(&state, "old");
                }
                let checkpoint = body.get("checkpoint").text().to_owned();
                let spec = body.get("spec").text().to_owned();
                let now = Instant::now();
                let saved_done = Duration::from_millis(u64::from_str_radix(&checkpoint, 16).unwrap_or(0));
                let restore = if checkpoint.is_empty() { Duration::ZERO } else { self.timing.restore };
                let step = task.split('.').nth(2).unwrap_or("0");
                let work = spec
                    .split(';')
                    .find_map(|word| word.strip_prefix(&format!("w{step}=")))
                    .and_then(|millis| millis.parse().ok())
                    .map(Duration::from_millis);
                let count = spec.split(';').find_map(|word| word.strip_prefix("gang=")?.parse::<usize>().ok());
                let gang = count.map(|count| {
                    let key = (task.rsplit_once('.').map_or(task.clone(), |(step, _)| step.to_owned()), number);
                    let mut gangs = gangs();
                    let first = || GangRun { checkpoint: checkpoint.clone(), ..GangRun::default() };
                    let members = gangs.entry(key.clone()).or_insert_with(first);
                    members.present += usize::from(members.checkpoint == checkpoint);
                    if members.present == count {
                        members.whole.get_or_insert(now);
                    }
                    Gang { begun: now, key }
                });
                self.record.start(&self.id, &task, number, token, &checkpoint);
                state.running.push(Run {
                    task,
                    number,
                    work,
                    resume_at: now + restore,
                    done: Duration::ZERO,
                    saved_done,
                    saved: checkpoint,
                    stop_at: None,
                    gang,
                });
                Some((200, format!("{{{}}}", Self::stamp(&state))))
            }
            "/run-stop" => {
                self.record.note(&format!("{} is told to stop {task} run {number}", self.id));
                let floor = state.floors.entry(task.clone()).or_default();
                *floor = number.max(*floor);
                for run in state.running.iter_mut().filter(|run| run.task == task && run.number <= number) {
                    run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
                }
                Some((200, format!("{{{}}}", Self::stamp(&state))))
            }
            "/hold" => {
                let seen = body.get("lastSeen").number().unwrap_or(0);
                state.ended.retain(|end| end.number > seen);
                if let Some(until) = body.get("deadlineMs").number() {
                    Self::extend(&mut state, until);
                }
                let wait = Duration::from_millis(body.get("waitMs").number().unwrap_or(0).min(2000));
                let end = Instant::now() + wait;
                while state.alive && state.ended.is_empty() && Instant::now() < end {
                    let left = end - Instant::now();
                    state = self.changed.wait_timeout(state, left).unwrap_or_else(std::sync::PoisonError::into_inner).0;
                }
                if !state.alive {
                    return None;
                }
                self.settle(&mut state);
                let running: Vec<String> = state
                    .running
                    .iter()
                    .map(|run| format!("[\"{}\",{},\"{}\",{},0]", run.task, run.number, run.saved, run.percent()))
                    .collect();
                let ended: Vec<String> = state
                    .ended
                    .iter()
                    .take(MAX_ENDS)
                    .map(|end| {
                        format!("[{},\"{}\",{},\"{}\",\"{}\"]", end.number, end.task, end.run, end.how, end.saved)
                    })
                    .collect();
                let stamp = Self::stamp(&state);
                Some((200, format!("{{{stamp},\"running\":[{}],\"ended\":[{}]}}", running.join(","), ended.join(","))))
            }
            _ => Some((404, String::new())),
        }
    }

    fn extend(state: &mut State, until: u64) {
        let now = Instant::now();
        let until = (state.boot + Duration::from_millis(until)).min(now + MAX_LEASE);
        if until > now {
            state.lease = state.lease.max(Some(until));
        }
    }

    /// Sends heartbeats until the end of the executor.
    fn report(&self) {
        let mut at = 0;
        loop {
            let mut state = self.lock();
            if !state.alive {
                return;
            }
            let now = Instant::now();
            if now < state.next_heartbeat || state.cut_off {
                drop(state);
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            state.next_heartbeat = now + HEARTBEAT;
            state.sequence += 1;
            let labels: Vec<String> = self.labels.iter().map(|label| format!("\"{label}\"")).collect();
            let word = if state.draining { "draining" } else { "ready" };
            let draining = state.draining;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{word}\",\"coldRemainingMs\":0,\"room\":{{\"cpu\":{},\"memMb\":32768,\"gpu\":0}},\"labels\":[{}],{},\"sequence\":{}}}",
                self.service,
                self.address,
                self.zone,
                self.cpu,
                labels.join(","),
                Self::stamp(&state),
                state.sequence
            );
            drop(state);
            let path = format!("/Instances.Heartbeat/{}", self.id);
            let controls = self.controls.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
            let acked = (0..controls.len()).any(|_| {
                let to = controls[at % controls.len()];
                let response = http::call(to, "POST", &path, &host_header(to), &body, Duration::from_secs(1));
                let acked = matches!(response, Some((200..=299, _)));
                at += usize::from(!acked);
                acked
            });
            if acked && draining {
                self.lock().drain_acked = true;
            }
        }
    }

    /// Lets the executor drain: it reports so until that is acknowledged, serves on for `serve`, deregisters and ends.
    pub fn drain(&self, serve: Duration) {
        let mut state = self.lock();
        (state.draining, state.next_heartbeat) = (true, Instant::now());
        drop(state);
        self.record.note(&format!("{} drains", self.id));
        let begun = Instant::now();
        while !self.lock().drain_acked && begun.elapsed() < Duration::from_secs(8) {
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(serve);
        let body = format!("{{\"born\":{}}}", self.lock().born);
        let path = format!("/Instances.Deregister/{}", self.id);
        for to in &self.controls.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone() {
            if let Some((200..=299, _)) =
                http::call(*to, "POST", &path, &host_header(*to), &body, Duration::from_secs(1))
            {
                break;
            }
        }
        self.end("left");
    }

    /// Ends the executor and everything that runs on it.
    pub fn end(&self, how: &'static str) {
        let mut state = self.lock();
        self.settle(&mut state);
        state.alive = false;
        for run in std::mem::take(&mut state.running) {
            self.record.end(&self.id, &run.task, run.number, how);
        }
        state.streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        drop(state);
        self.changed.notify_all();
        // Wakes the listener, which then closes.
        drop(TcpStream::connect_timeout(&self.address, Duration::from_millis(200)));
        self.record.note(&format!("{} ends: {how}", self.id));
    }

    /// Cuts the executor off, which runs on: bytes to and from it are lost until it is joined again.
    pub fn set_cut_off(&self, cut_off: bool) {
        let mut state = self.lock();
        state.cut_off = cut_off;
        if !cut_off {
            state.streams.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
        drop(state);
        self.changed.notify_all();
        self.record.note(&format!("{} is cut off: {cut_off}", self.id));
    }

    /// Leaves all orders unanswered but those with fencing tokens in `reach`, and reports to `controls` only.
    pub fn set_reach(&self, reach: (u64, u64), controls: Vec<SocketAddr>) {
        self.lock().reach = reach;
        *self.controls.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = controls;
    }

    /// Waits while the executor is cut off; returns false if it was, since the bytes are lost.
    fn is_reached(&self) -> bool {
        let mut state = self.lock();
        let reached = !state.cut_off;
        while state.cut_off {
            state = self.changed.wait(state).unwrap_or_else(std::sync::PoisonError::into_inner);
        }
        reached
    }

    /// Returns the tasks that run here; `None` once the executor has ended.
    pub fn tasks(&self) -> Option<Vec<String>> {
        let state = self.lock();
        state.alive.then(|| state.running.iter().map(|run| run.task.clone()).collect())
    }
}

pub fn host_header(to: SocketAddr) -> String {
    format!("Host: {to}\r\n")
}
