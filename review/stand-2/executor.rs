//! Executors: they beat, take orders under leases and fencing tokens, and run tasks that only take time.
//!
//! The spec of a job says how long its tasks work, in milliseconds, by step: `work 900,200`. A task of a step whose
//! time is 0 works until it is stopped. The tasks of `fail 50` fail after that time. Those of `gang 16 500` work only
//! together, 16 of them.

use crate::http::{self, Answer, Request};
use crate::world::{RunRecord, World};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval of the beats: `heartbeatMs` of the settings.
pub const BEAT: Duration = Duration::from_millis(1500);
/// Longest lease: `holdMaxMs` of the settings.
const MAX_LEASE: u64 = 1000;
/// What the clock of an executor shows at the start of a life, in milliseconds.
const FIRST_CLOCK: u64 = 1000;
/// Most ends in one list.
const MAX_ENDS: usize = 500;
/// Time that the members of a gang wait for each other: `gangTimeoutMs` of the settings.
const GANG_TIMEOUT: Duration = Duration::from_millis(3000);

struct Run {
    task: String,
    number: u64,
    begun: Instant,
    /// `None` for a task that works until it is stopped.
    work: Option<Duration>,
    fails: bool,
    /// Job, occurrence and step of a gang, and the run that its members share.
    gang: Option<(String, u64)>,
    record: usize,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// State of one life of an executor.
struct Life {
    born: u64,
    boot: Instant,
    token: u64,
    lease: u64,
    running: Vec<Run>,
    ended: Vec<End>,
    last_end: u64,
    /// Highest run that was stopped or has ended here, by task.
    floors: BTreeMap<String, u64>,
    sequence: u64,
}

impl Life {
    fn begin() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        Self {
            born,
            boot: Instant::now(),
            token: 0,
            lease: 0,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            floors: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// The clock starts anew with each life.
    fn clock(&self) -> u64 {
        FIRST_CLOCK + self.boot.elapsed().as_millis() as u64
    }

    fn end_run(&mut self, at: usize, how: &'static str, world: &World) {
        let run = self.running.swap_remove(at);
        self.last_end += 1;
        let floor = self.floors.entry(run.task.clone()).or_default();
        *floor = run.number.max(*floor);
        if let Some(gang) = run.gang.as_ref().filter(|_| how != "done") {
            world.break_gang(gang);
        }
        record_end(world, run.record, how);
        self.ended.push(End { number: self.last_end, task: run.task, run: run.number, how });
    }
}

fn record_end(world: &World, at: usize, how: &'static str) {
    let now = world.now();
    let mut runs = world.runs.lock().unwrap();
    let record = &mut runs[at];
    (record.ended, record.how) = (Some(now), how);
    let line = format!("ran {} run {} on {}: {how}", record.task, record.run, record.executor);
    drop(runs);
    world.log(&line);
}

/// What a case may tell an executor to do.
#[derive(Default)]
pub struct Conduct {
    /// Range of fencing tokens of the callers that reach this executor; the orders of others get no response.
    pub reachable: Option<(u64, u64)>,
}

pub struct Executor {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    world: Arc<World>,
    life: Mutex<Option<Life>>,
    lives: Mutex<u64>,
    changed: Condvar,
    streams: Mutex<Vec<TcpStream>>,
    pub conduct: Mutex<Conduct>,
    /// Control addresses that the executor beats to, in the order in which it tries them.
    pub controls: Mutex<Vec<SocketAddr>>,
    /// Time before which no beat is sent.
    next_beat: Mutex<Instant>,
}

impl Executor {
    pub fn spawn(world: &Arc<World>, id: &str, address: SocketAddr, zone: &str, labels: &[&str], cpu: u64) -> Arc<Self> {
        let executor = Arc::new(Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu,
            world: Arc::clone(world),
            life: Mutex::new(None),
            lives: Mutex::new(0),
            changed: Condvar::new(),
            streams: Mutex::default(),
            conduct: Mutex::default(),
            controls: Mutex::default(),
            next_beat: Mutex::new(Instant::now()),
        });
        executor.start(Duration::ZERO);
        for work in [Self::work as fn(&Arc<Self>), Self::beat] {
            let own = Arc::clone(&executor);
            thread::spawn(move || work(&own));
        }
        executor
    }

    /// Begins a life: binds the address, and beats from `first_beat` on.
    pub fn start(self: &Arc<Self>, first_beat: Duration) {
        let mut lives = self.lives.lock().unwrap();
        *lives += 1;
        let number = *lives;
        drop(lives);
        let listener = TcpListener::bind(self.address).expect("the address of an executor is free");
        listener.set_nonblocking(true).unwrap();
        *self.next_beat.lock().unwrap() = Instant::now() + first_beat;
        *self.life.lock().unwrap() = Some(Life::begin());
        self.world.log(&format!("executor {} starts, life {number}", self.id));
        let own = Arc::clone(self);
        thread::spawn(move || own.accept(&listener, number));
    }

    /// Ends the life: everything that runs is gone, channels are reset, nothing listens.
    pub fn crash(&self) {
        *self.lives.lock().unwrap() += 1;
        if let Some(life) = self.life.lock().unwrap().take() {
            for run in &life.running {
                record_end(&self.world, run.record, "crashed");
                run.gang.iter().for_each(|gang| self.world.break_gang(gang));
            }
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
        self.changed.notify_all();
        self.world.log(&format!("executor {} crashes", self.id));
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, number: u64) {
        while *self.lives.lock().unwrap() == number {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    drop(stream.set_nodelay(true));
                    if let Ok(copy) = stream.try_clone() {
                        self.streams.lock().unwrap().push(copy);
                    }
                    let own = Arc::clone(&self);
                    thread::spawn(move || own.serve(stream, number));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if *self.lives.lock().unwrap() != number {
                return;
            }
            let Some((status, body)) = self.answer(&request, number) else {
                // The caller is cut off from this executor: it gets no response.
                thread::sleep(Duration::from_secs(3));
                return;
            };
            if *self.lives.lock().unwrap() != number || http::write_response(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, number: u64) -> Option<(u16, String)> {
        let token = http::number_field(&request.body, "fencingToken").unwrap_or(0);
        if let Some((least, most)) = self.conduct.lock().unwrap().reachable
            && !(least..=most).contains(&token)
        {
            return None;
        }
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return Some((421, "{}".to_owned()));
        }
        let mut guard = self.life.lock().unwrap();
        let life = guard.as_mut()?;
        let stamp = |life: &Life| format!("\"clockMs\":{},\"born\":{}", life.clock(), life.born);
        if token < life.token {
            self.world.log(&format!("{} refuses token {token}, it has seen {}", self.id, life.token));
            return Some((409, format!("{{{},\"reason\":\"fence\"}}", stamp(life))));
        }
        life.token = token;
        let deadline = http::number_field(&request.body, "deadlineMs").unwrap_or(0);
        let late = deadline > 0 && deadline <= life.clock();
        if deadline > 0 {
            life.lease = life.lease.max(deadline.min(life.clock() + MAX_LEASE));
        }
        match request.path.as_str() {
            "/run-start" => {
                let reason = self.begin_run(life, request, token, late);
                Some(match reason {
                    None => (200, format!("{{{}}}", stamp(life))),
                    Some(reason) => (409, format!("{{{},\"reason\":\"{reason}\"}}", stamp(life))),
                })
            }
            "/run-stop" => {
                let task = http::text_field(&request.body, "task")?;
                let run = http::number_field(&request.body, "run")?;
                let floor = life.floors.entry(task.to_owned()).or_default();
                *floor = run.max(*floor);
                if let Some(at) = life.running.iter().position(|known| known.task == task && known.number <= run) {
                    life.end_run(at, "stopped", &self.world);
                    self.changed.notify_all();
                }
                Some((200, format!("{{{}}}", stamp(life))))
            }
            "/hold" => {
                let seen = http::number_field(&request.body, "lastSeen").unwrap_or(0);
                life.ended.retain(|end| end.number > seen);
                let until = Instant::now()
                    + Duration::from_millis(http::number_field(&request.body, "waitMs").unwrap_or(0).min(2000));
                while guard.as_ref().is_some_and(|life| life.ended.is_empty()) && Instant::now() < until {
                    guard = self.changed.wait_timeout(guard, until - Instant::now()).unwrap().0;
                }
                let same = *self.lives.lock().unwrap() == number;
                let life = guard.as_ref().filter(|_| same)?;
                Some((200, format!("{{{},{}}}", stamp(life), lists(life))))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Begins a run; returns the reason if it is rejected.
    fn begin_run(&self, life: &mut Life, request: &Request, token: u64, late: bool) -> Option<&'static str> {
        let task = http::text_field(&request.body, "task").unwrap_or_default().to_owned();
        let number = http::number_field(&request.body, "run").unwrap_or(0);
        if life.running.iter().any(|run| run.task == task && run.number == number) {
            return None;
        }
        if life.floors.get(&task).is_some_and(|floor| number <= *floor) {
            return Some("old");
        }
        if late {
            return Some("late");
        }
        let step = task.split('.').nth(2).and_then(|step| step.parse::<usize>().ok()).unwrap_or(0);
        let spec = http::text_field(&request.body, "spec").unwrap_or_default();
        let words: Vec<&str> = spec.split(' ').collect();
        let count = words.get(1).filter(|_| words[0] == "gang").and_then(|count| count.parse::<usize>().ok());
        let times = words.last().unwrap_or(&"").split(',').map(|time| time.parse::<u64>().unwrap_or(0));
        let work = times.collect::<Vec<_>>().get(step).copied().filter(|time| *time > 0).map(Duration::from_millis);
        let (executor, begun) = (self.id.clone(), self.world.now());
        let record = RunRecord { task: task.clone(), run: number, token, executor, begun, ended: None, how: "" };
        let mut runs = self.world.runs.lock().unwrap();
        runs.push(record);
        let record = runs.len() - 1;
        drop(runs);
        self.world.log(&format!("start {task} run {number} token {token} on {}", self.id));
        let fails = words[0] == "fail";
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let gang = count.map(|_| (step.to_owned(), number));
        if let (Some(gang), Some(count)) = (&gang, count) {
            self.world.join_gang(gang, count);
        }
        life.running.push(Run { task, number, begun: Instant::now(), work, fails, gang, record });
        None
    }

    /// Ends runs whose work is done or whose lease is over.
    fn work(self: &Arc<Self>) {
        loop {
            thread::sleep(Duration::from_millis(2));
            let mut guard = self.life.lock().unwrap();
            let Some(life) = guard.as_mut() else { continue };
            let lapsed = life.clock() > life.lease;
            let end_of = |run: &Run| match &run.gang {
                Some(gang) => self.world.gang_end(gang, run.begun, run.work.unwrap_or_default(), GANG_TIMEOUT),
                None if run.work.is_some_and(|work| run.begun.elapsed() >= work) => {
                    Some(if run.fails { "failed" } else { "done" })
                }
                None => None,
            };
            let over = |run: &Run| end_of(run).or(lapsed.then_some("lapsed"));
            while let Some((at, how)) =
                life.running.iter().enumerate().find_map(|(at, run)| Some((at, over(run)?)))
            {
                life.end_run(at, how, &self.world);
                self.changed.notify_all();
            }
        }
    }

    /// Beats about every [`BEAT`]; a beat that gets no 2xx within a second goes to the next control address.
    fn beat(self: &Arc<Self>) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let controls = self.controls.lock().unwrap().clone();
            if controls.is_empty() || Instant::now() < *self.next_beat.lock().unwrap() {
                continue;
            }
            for control in controls {
                let Some(body) = self.beat_body() else { break };
                let path = format!("/Instances.Heartbeat/{}", self.id);
                let answer =
                    http::call(control, "POST", &control.to_string(), &path, "", &body, Duration::from_secs(1));
                if matches!(answer, Answer::Status(200..=299, _)) {
                    break;
                }
            }
            *self.next_beat.lock().unwrap() = Instant::now() + BEAT;
        }
    }

    fn beat_body(&self) -> Option<String> {
        let mut guard = self.life.lock().unwrap();
        let life = guard.as_mut()?;
        life.sequence += 1;
        let labels: Vec<String> = self.labels.iter().map(|label| format!("\"{label}\"")).collect();
        Some(format!(
            "{{\"service\":\"candle-desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"room\":{{\"cpu\":{},\"memMb\":32768,\"gpu\":0}},\
             \"labels\":[{}],\"clockMs\":{},\"sequence\":{},\"born\":{}}}",
            self.address,
            self.zone,
            self.cpu,
            labels.join(","),
            life.clock(),
            life.sequence,
            life.born
        ))
    }

    /// Ends the run of a task here as failed.
    pub fn fail_run(&self, task: &str) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        if let Some(at) = life.running.iter().position(|run| run.task == task) {
            life.end_run(at, "failed", &self.world);
            self.changed.notify_all();
        }
    }

    /// Returns the number of runs that go on here.
    pub fn running(&self) -> usize {
        self.life.lock().unwrap().as_ref().map_or(0, |life| life.running.len())
    }
}

fn lists(life: &Life) -> String {
    let percent = |run: &Run| {
        let share = run.work.map_or(1.0, |work| run.begun.elapsed().as_secs_f64() / work.as_secs_f64());
        (share * 100.0).min(99.0) as u64
    };
    let running: Vec<String> = life
        .running
        .iter()
        .map(|run| format!("[\"{}\",{},\"\",{},0]", run.task, run.number, percent(run)))
        .collect();
    let ended: Vec<String> = life
        .ended
        .iter()
        .take(MAX_ENDS)
        .map(|end| format!("[{},\"{}\",{},\"{}\",\"\"]", end.number, end.task, end.run, end.how))
        .collect();
    format!("\"running\":[{}],\"ended\":[{}]", running.join(","), ended.join(","))
}
