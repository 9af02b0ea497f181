//! The scripts.

use crate::check::{longest_idle, most_used, spans};
use crate::executor::{Executor, Timing};
use crate::hosts::{Client, Hosts, ZONES, cannot_run};
use crate::record::Record;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// Room of each executor, in thousandths of a core.
const ROOM: u64 = 16_000;

pub fn run(case: &str, record: &str, trouble: bool) -> bool {
    let record = Arc::new(Record::new(record));
    record.note(&format!("case {case}, disruption {trouble}"));
    let broken = match case {
        "lasting" => lasting(&record, trouble),
        "gang" => gang(&record, trouble),
        "poison" => poison(&record, trouble),
        "resume" => resume(&record, trouble),
        "term" => term(&record, trouble),
        "same" => same(&record, trouble),
        "crowd" => crowd(&record, trouble),
        "moved" => moved(&record, trouble),
        "cancel" => cancel(&record, trouble),
        _ => cannot_run("no such case"),
    };
    record.note(if broken { "rule broken" } else { "rule held" });
    broken
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn config(version: u32, routes: &[(&str, &str, &str)], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, service)| {
            format!("{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"type\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":0,\"service\":\"{service}\",\"attempts\":4,\"stretch\":1.6}}")
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"spare\":false}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Bounds of the Hanjiri deployment.
const HANJIRI_BOUNDS: &str = "farX = 2\ncheckpointS = 2\nrestoreMs = 600\n";
const HANJIRI: (&str, Timing) =
    (HANJIRI_BOUNDS, Timing { checkpoint: Duration::from_secs(2), restore: Duration::from_millis(600) });
/// Bounds of the Runway of Candles deployment.
const LANTERN: (&str, Timing) = (
    "farX = 3\ncheckpointS = 0.5\nrestoreMs = 250\n",
    Timing { checkpoint: Duration::from_millis(500), restore: Duration::from_millis(250) },
);

struct Play {
    hosts: Hosts,
    executors: Vec<Arc<Executor>>,
    client: Client,
}

impl Play {
    /// Starts hosts and executors, one service and one queue. `kinds` are the kinds of the executors.
    fn start(record: &Arc<Record>, kinds: &[(&str, &str)], config: &str) -> Self {
        Self::start_at(HANJIRI, record, kinds, config)
    }

    fn start_at(site: (&str, Timing), record: &Arc<Record>, kinds: &[(&str, &str)], config: &str) -> Self {
        let hosts = Hosts::start(record, site.0);
        hosts.put(config);
        let mut executors = Vec::new();
        for (at, (service, kind)) in kinds.iter().enumerate() {
            let rack = format!("r{}-1", at % 3);
            executors.push(Executor::spawn(
                record,
                &format!("i-{at:08x}"),
                hosts.executor_ip(at),
                service,
                ZONES[at % 3],
                &[kind, &rack],
                site.1,
                hosts.controls(),
            ));
        }
        hosts.wait_ready();
        sleep(seconds(4.0));
        let client = Client {
            record: Arc::clone(record),
            fronts: hosts.fronts(),
            host: HOST.to_owned(),
            prefix: PREFIX.to_owned(),
        };
        Self { hosts, executors, client }
    }

    fn count(&self, prefix: &str) -> usize {
        self.executors.iter().filter_map(|own| own.tasks()).flatten().filter(|task| task.starts_with(prefix)).count()
    }
}

/// Tasks that last fail now and then. Every failed one has to be started again.
fn lasting(record: &Arc<Record>, trouble: bool) -> bool {
    let set = config(7, &[("r-3hwrr6x", PREFIX, "huvo11a")], &["huvo11a"]);
    let play = Play::start(record, &[("huvo11a", "a"); 3], &set);
    let job = "00000000000000a1";
    let count = 9;
    play.client.accept(
        job,
        &format!("{{\"spec\":\"lasting\",\"longRunning\":true,\"phases\":[{{\"count\":{count},\"cpu\":1000,\"memMb\":256,\"estimateMs\":1000,\"antiAffinity\":5}}]}}"),
    );
    sleep(seconds(4.0));
    if play.count(job) != count {
        play.hosts.fail("the tasks don't run");
    }
    let mut failures = 0;
    for at in 0..10 {
        if trouble && play.count(job) == count {
            // One task fails, on each executor in turn.
            let failed = (0..3).any(|next| play.executors[(at + next) % 3].fail_one(job));
            failures += u32::from(failed);
        }
        sleep(seconds(5.0));
    }
    let calm = record.now();
    record.note(&format!("{failures} failures; from now on calm"));
    sleep(seconds(16.0));
    let now = record.now();
    let all = spans(&record.events(), now);
    let mut broken = false;
    for index in 0..count {
        let task = format!("{job}.0.0.{index}");
        let (from, to) = longest_idle(&all, &task, calm + seconds(7.0), now);
        if to - from >= seconds(3.0) {
            broken = true;
            let used = most_used(&all, |_| true, |_| 1000, from, to);
            record.note(&format!(
                "LOST: {task} has had nothing running for {:.1} s; {used} of {} are in use",
                (to - from).as_secs_f64(),
                3 * ROOM
            ));
        }
    }
    record.note(&format!("state: {}", play.client.state(job)));
    broken
}

/// A hopeless job fails on each executor in turn; later a gang comes.
fn gang(record: &Arc<Record>, trouble: bool) -> bool {
    let set = config(7, &[("r-3hwrr6x", PREFIX, "huvo11a")], &["huvo11a"]);
    let play = Play::start(record, &[("huvo11a", "a"); 3], &set);
    let small = "{\"spec\":\"w0=200\",\"phases\":[{\"count\":2,\"cpu\":2000,\"memMb\":64,\"estimateMs\":200}]}";
    for at in 0..40 {
        play.client.accept(&format!("00000000000001{at:02}"), small);
        sleep(seconds(0.1));
    }
    sleep(seconds(1.0));
    if trouble {
        for at in 0..2 {
            play.client.accept(&format!("00000000000002{at:02}"), &small.replace("w0=200", "hopeless"));
        }
    }
    sleep(seconds(6.0));
    let calm = record.now();
    let job = "00000000000000a1";
    play.client.accept(
        job,
        "{\"spec\":\"w0=500;gang=6\",\"phases\":[{\"count\":6,\"cpu\":6000,\"memMb\":64,\"estimateMs\":500,\"gang\":true}]}",
    );
    // The longest ejection takes 8 s, and a member of a gang waits 3 s.
    sleep(FINISH + seconds(12.0));
    let all = spans(&record.events(), record.now());
    let alone: Vec<_> = all.iter().filter(|span| span.task.starts_with(job) && span.how == "alone").collect();
    for span in &alone {
        record.note(&format!(
            "GANG: {} run {} ends alone on {}, {:.1} s after the job was accepted",
            span.task,
            span.run,
            span.executor,
            (span.to - calm).as_secs_f64()
        ));
    }
    record.note(&format!("state: {}", play.client.state(job)));
    !alone.is_empty()
}

/// Many jobs of two steps come at once. Their first steps fit on the executors together.
fn crowd(record: &Arc<Record>, trouble: bool) -> bool {
    let set = config(7, &[("r-3hwrr6x", PREFIX, "huvo11a")], &["huvo11a"]);
    let play = Play::start(record, &[("huvo11a", "a"); 3], &set);
    let count = if trouble { 150 } else { 100 };
    let body = "{\"spec\":\"w0=60000;w1=300\",\"phases\":[{\"count\":1,\"cpu\":100,\"memMb\":64,\"estimateMs\":60000},{\"count\":1,\"cpu\":100,\"memMb\":64,\"estimateMs\":300,\"dependsOn\":[0]}]}";
    let id = |at: usize| format!("0000000000{:06x}", 0xd00 + at);
    let threads: Vec<_> = (0..6)
        .map(|part| {
            let client = play.client.clone();
            std::thread::spawn(move || {
                for at in (part..count).step_by(6) {
                    client.accept(&id(at), body);
                    sleep(seconds(0.1));
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let end = record.now();
    sleep(FINISH + seconds(8.0));
    let now = record.now();
    let all = spans(&record.events(), now);
    let mut broken = false;
    for at in 0..count {
        let (from, to) = longest_idle(&all, &id(at), end + FINISH, now);
        if to - from < seconds(3.0) {
            continue;
        }
        let state = play.client.state(&id(at));
        if state != "completed" {
            broken = true;
            let used = most_used(&all, |_| true, |_| 100, from, to);
            record.note(&format!(
                "LOST: {} is {state} and has had nothing running for {:.1} s; {used} of {} are in use",
                id(at),
                (to - from).as_secs_f64(),
                3 * ROOM
            ));
        }
    }
    broken
}

/// A queue is given to another service, and the executor of the old one leaves.
fn moved(record: &Arc<Record>, trouble: bool) -> bool {
    let services = ["huvo11a", "wemi20b"];
    let first = config(7, &[("r-3hwrr6x", PREFIX, services[0])], &services);
    let kinds: Vec<(&str, &str)> = (0..7).map(|at| (services[usize::from(at > 0)], "a")).collect();
    let play = Play::start(record, &kinds, &first);
    let waiting: Vec<String> = (0..4).map(|at| format!("00000000000000f{at}")).collect();
    for id in &waiting {
        play.client.accept(
            id,
            "{\"spec\":\"w0=4000;w1=800\",\"phases\":[{\"count\":1,\"cpu\":2000,\"memMb\":256,\"estimateMs\":4000},{\"count\":1,\"cpu\":2000,\"memMb\":256,\"estimateMs\":800,\"dependsOn\":[0]}]}",
        );
    }
    if trouble {
        play.hosts.put(&config(8, &[("r-3hwrr6x", PREFIX, services[1])], &services));
        sleep(seconds(1.0));
        play.executors[0].drain(seconds(4.0));
    }
    let end = record.now();
    sleep(FINISH + seconds(8.0));
    let now = record.now();
    let all = spans(&record.events(), now);
    let mut broken = false;
    for id in &waiting {
        let state = play.client.state(id);
        let (from, to) = longest_idle(&all, id, end + FINISH, now);
        if state != "completed" && to - from >= seconds(3.0) {
            broken = true;
            record.note(&format!(
                "LOST: {id} is {state} and has had nothing running for {:.1} s; nothing runs on the service of its queue",
                (to - from).as_secs_f64()
            ));
        }
    }
    broken
}

/// A client cancels a job that is not kept while it waits for its answer.
fn cancel(record: &Arc<Record>, trouble: bool) -> bool {
    let set = config(7, &[("r-3hwrr6x", PREFIX, "huvo11a")], &["huvo11a"]);
    let play = Play::start(record, &[("huvo11a", "a"); 3], &set);
    let job = "00000000000000a1";
    let client = play.client.clone();
    let waiting = std::thread::spawn(move || {
        client.submit(
            job,
            "{\"spec\":\"w0=3500;w1=3500\",\"bestEffort\":true,\"phases\":[{\"count\":2,\"cpu\":1000,\"memMb\":64,\"estimateMs\":3500},{\"count\":2,\"cpu\":1000,\"memMb\":64,\"estimateMs\":3500,\"dependsOn\":[0]}]}",
            20_000,
        )
    });
    sleep(seconds(0.4));
    let mut cancelled = None;
    if trouble {
        let status = play.client.delete(job);
        cancelled = status.map(|_| record.now());
    }
    let answer = waiting.join().ok().flatten();
    record.note(&format!("the job was answered {answer:?}"));
    let Some(at) = cancelled else { return false };
    let all = spans(&record.events(), record.now());
    let late: Vec<_> = all.iter().filter(|span| span.from > at + seconds(3.0)).collect();
    for span in &late {
        record.note(&format!(
            "UNASKED: {} starts on {} {:.1} s after the cancelling was acknowledged",
            span.task,
            span.executor,
            (span.from - at).as_secs_f64()
        ));
    }
    !late.is_empty()
}

/// Some hopeless jobs come among others; jobs that are accepted after them have to run.
fn poison(record: &Arc<Record>, trouble: bool) -> bool {
    let set = config(7, &[("r-3hwrr6x", PREFIX, "huvo11a")], &["huvo11a"]);
    let play = Play::start(record, &[("huvo11a", "a"); 3], &set);
    let small = "{\"spec\":\"w0=200\",\"phases\":[{\"count\":2,\"cpu\":2000,\"memMb\":64,\"estimateMs\":200}]}";
    let threads: Vec<_> = (0..6)
        .map(|part| {
            let client = play.client.clone();
            std::thread::spawn(move || {
                for at in (part..290).step_by(6) {
                    client.accept(&format!("0000000000001{at:03}"), small);
                    sleep(seconds(0.05));
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    sleep(seconds(2.0));
    if trouble {
        for at in 0..15 {
            play.client.accept(&format!("00000000000002{at:02}"), &small.replace("w0=200", "hopeless"));
        }
    }
    let good: Vec<String> = (0..10).map(|at| format!("00000000000003{at:02}")).collect();
    for id in &good {
        play.client.accept(id, small);
    }
    let end = record.now();
    sleep(FINISH + seconds(8.0));
    let now = record.now();
    let all = spans(&record.events(), now);
    let mut broken = false;
    for id in &good {
        let (from, to) = longest_idle(&all, id, end + FINISH, now);
        let state = play.client.state(id);
        if state != "completed" && to - from >= seconds(3.0) {
            broken = true;
            let used = most_used(&all, |_| true, |_| 2000, from, to);
            record.note(&format!(
                "LOST: {id} is {state} and has had nothing running for {:.1} s; {used} of {} are in use",
                (to - from).as_secs_f64(),
                3 * ROOM
            ));
        }
    }
    broken
}

/// Clients of two queues choose the same id.
fn same(record: &Arc<Record>, trouble: bool) -> bool {
    let services = ["huvo11a", "wemi20b"];
    let routes = [("r-3hwrr6x", PREFIX, services[0]), ("r-73d3zji", "/pufi791/", services[1])];
    let kinds = [(services[0], "a"), (services[0], "a"), (services[1], "a"), (services[1], "a")];
    let play = Play::start(record, &kinds, &config(7, &routes, &services));
    let other = Client { prefix: "/pufi791/".to_owned(), ..play.client.clone() };
    let body = "{\"spec\":\"w0=500\",\"phases\":[{\"count\":1,\"cpu\":2000,\"memMb\":64,\"estimateMs\":500}]}";
    let first = "0000000000000001";
    let second = if trouble { first } else { "0000000000000002" };
    play.client.accept(first, body);
    sleep(seconds(2.0));
    other.accept(second, body);
    sleep(FINISH);
    let state = other.state(second);
    let own = spans(&record.events(), record.now());
    let ran = own.iter().any(|span| span.task.starts_with(second) && span.executor >= "i-00000002".to_owned());
    record.note(&format!("the job of the second queue is {state}; it has run on its service: {ran}"));
    state == "completed" && !ran
}

/// An executor that runs a member of a gang is cut off for a while; the gang resumes from its checkpoints.
fn resume(record: &Arc<Record>, trouble: bool) -> bool {
    let set = config(7, &[("r-3hwrr6x", PREFIX, "huvo11a")], &["huvo11a"]);
    let play = Play::start_at(LANTERN, record, &[("huvo11a", "a"); 6], &set);
    let job = "00000000000000a1";
    play.client.accept(
        job,
        "{\"spec\":\"w0=6000;gang=2\",\"phases\":[{\"count\":2,\"cpu\":4000,\"memMb\":64,\"estimateMs\":6000,\"gang\":true,\"antiAffinity\":1,\"checkpointing\":true}]}",
    );
    sleep(seconds(2.2));
    if trouble {
        let at = play.executors.iter().position(|own| own.tasks().is_some_and(|tasks| !tasks.is_empty()));
        let Some(at) = at else { play.hosts.fail("the gang does not run") };
        play.executors[at].set_cut_off(true);
        sleep(seconds(5.5));
        play.executors[at].set_cut_off(false);
    }
    let calm = record.now();
    sleep(FINISH + seconds(6.0));
    let all = spans(&record.events(), record.now());
    let alone: Vec<_> = all.iter().filter(|span| span.how == "alone" && span.from > calm + seconds(3.0)).collect();
    for span in &alone {
        record.note(&format!(
            "GANG: {} run {} on {} starts {:.1} s after the cut and ends alone",
            span.task,
            span.run,
            span.executor,
            (span.from.saturating_sub(calm)).as_secs_f64()
        ));
    }
    record.note(&format!("state: {}", play.client.state(job)));
    !alone.is_empty()
}

/// An entry host gets SIGTERM while a job that is not kept waits there for room.
fn term(record: &Arc<Record>, trouble: bool) -> bool {
    let set = config(7, &[("r-3hwrr6x", PREFIX, "huvo11a")], &["huvo11a"])
        .replace("\"timeoutMs\":1500", "\"timeoutMs\":20000");
    let play = Play::start(record, &[("huvo11a", "a"); 3], &set);
    play.client.accept(
        "00000000000000e1",
        "{\"spec\":\"w0=10000\",\"phases\":[{\"count\":3,\"cpu\":14000,\"memMb\":256,\"estimateMs\":10000,\"antiAffinity\":1}]}",
    );
    sleep(seconds(0.5));
    let front = play.client.fronts[0];
    let (client, own) = (play.client.clone(), Arc::clone(record));
    let waiting = std::thread::spawn(move || {
        let path = format!("{}00000000000000f1", client.prefix);
        let body = "{\"spec\":\"w0=3000\",\"bestEffort\":true,\"phases\":[{\"count\":1,\"cpu\":8000,\"memMb\":256,\"estimateMs\":3000}]}";
        let headers = format!("Host: {HOST}\r\nX-Deadline-Ms: 20000\r\n");
        own.note(&format!("POST {path} to {front}: {body}"));
        let sent = own.now();
        let answer = crate::http::call(front, "POST", &path, &headers, body, seconds(20.0));
        own.note(&format!("POST {path} answered {answer:?}"));
        (answer, own.now() - sent)
    });
    sleep(seconds(1.0));
    if trouble {
        play.hosts.terminate(3);
    }
    let (answer, took) = waiting.join().unwrap_or((None, Duration::ZERO));
    let broken = answer.is_none() && took < seconds(19.0);
    if broken {
        record
            .note(&format!("LOST: the channel ended without an answer {:.1} s after the request", took.as_secs_f64()));
    }
    broken
}
