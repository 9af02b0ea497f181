//! The scripts.

use crate::check::{longest_idle, spans};
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
/// Time from the loss of the entry machine to the cut of the zone.
const KILL_TO_CUT: Duration = Duration::from_millis(250);
/// Room of each executor, in thousandths of a core.
const ROOM: u64 = 16_000;

pub fn run(case: &str, record: &str, trouble: bool) -> bool {
    let record = Arc::new(Record::new(record));
    record.note(&format!("case {case}, disruption {trouble}"));
    let broken = match case {
        "twice" => twice(&record, trouble),
        "moved" => moved(&record, trouble),
        "resume" => resume(&record, trouble),
        "long" => long(&record, trouble),
        "term" => term(&record, trouble),
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
        Self::start_at(HANJIRI, record, kinds, config, false)
    }

    fn start_at(
        site: (&str, Timing),
        record: &Arc<Record>,
        kinds: &[(&str, &str)],
        config: &str,
        cuttable: bool,
    ) -> Self {
        let hosts = Hosts::start(record, site.0, cuttable);
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

/// An executor that runs a member of a gang is cut off for a while; the gang resumes from its checkpoints.
fn resume(record: &Arc<Record>, trouble: bool) -> bool {
    let set = config(7, &[("r-3hwrr6x", PREFIX, "huvo11a")], &["huvo11a"]);
    let play = Play::start_at(LANTERN, record, &[("huvo11a", "a"); 6], &set, false);
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

/// Three times, an entry machine loses power and the leader's zone is cut off; the client sends its job again, elsewhere.
fn twice(record: &Arc<Record>, trouble: bool) -> bool {
    let set = config(7, &[("r-3hwrr6x", PREFIX, "huvo11a")], &["huvo11a"]);
    let mut play = Play::start_at(LANTERN, record, &[("huvo11a", "a"); 9], &set, true);
    for round in 1..=3 {
        lose_entry(record, &mut play, &format!("00000000000000a{round}"), trouble);
        // The hosts count as back 4 s after the cut.
        sleep(seconds(8.0));
    }
    overlaps(record)
}

/// Plays one loss of an entry machine and one cut of the leader's zone around a job.
fn lose_entry(record: &Arc<Record>, play: &mut Play, job: &str, trouble: bool) {
    let Some(leader) = play.hosts.leader() else { play.hosts.fail("no host leads") };
    let zone = play.hosts.zone(leader);
    let outside: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    let fronts = play.hosts.fronts();
    record.note(&format!("the leader is in zone {zone}"));
    let own_job = job.to_owned();
    // One entry host after the other, in the two other zones.
    let client = Client { fronts: vec![fronts[outside[0]], fronts[outside[1]]], ..play.client.clone() };
    let waiting = std::thread::spawn(move || {
        client.submit(
            &own_job,
            "{\"spec\":\"w0=2500\",\"bestEffort\":true,\"phases\":[{\"count\":13,\"cpu\":6800,\"memMb\":64,\"estimateMs\":2500}]}",
            6000,
        )
    });
    sleep(seconds(0.5));
    if trouble {
        let all = spans(&record.events(), record.now());
        let Some(run) = all.iter().find(|span| span.task.starts_with(job)) else { play.hosts.fail("no run") };
        // The term of the leader, and the tokens that belong to it.
        let last = (run.run >> 28) | 0xff;
        play.hosts.kill(3 + outside[0]);
        sleep(KILL_TO_CUT);
        record.note(&format!("zone {zone} is cut off"));
        let controls = play.hosts.controls();
        if let Some(proxy) = &play.hosts.proxy {
            proxy.cut(Some(zone));
        }
        for own in &play.executors {
            let inside = own.zone == zone;
            let reached = (0..3).filter(|at| (*at == leader) == inside).map(|at| controls[at]).collect();
            own.set_reach(if inside { (0, last) } else { (last + 1, u64::MAX) }, reached);
        }
        sleep(seconds(3.0));
        play.hosts.spawn(3 + outside[0], false);
        sleep(seconds(2.5));
        if let Some(proxy) = &play.hosts.proxy {
            proxy.cut(None);
        }
        play.executors.iter().for_each(|own| own.set_reach((0, u64::MAX), controls.clone()));
        record.note(&format!("zone {zone} is joined again"));
    }
    let _ = waiting.join();
}

/// Returns true if two runs of a task went on at the same time.
fn overlaps(record: &Record) -> bool {
    let all = spans(&record.events(), record.now());
    let mut broken = false;
    for (at, one) in all.iter().enumerate() {
        for other in all[at + 1..].iter().filter(|other| other.task == one.task) {
            let shared = one.to.min(other.to).saturating_sub(one.from.max(other.from));
            if shared > Duration::from_millis(20) {
                broken = true;
                record.note(&format!(
                    "TWICE: {} run {} on {} and run {} on {} for {} ms at the same time",
                    one.task,
                    one.run,
                    one.executor,
                    other.run,
                    other.executor,
                    shared.as_millis()
                ));
            }
        }
    }
    broken
}

/// A task of 300 s, as its estimate says, on one of two executors of its kind; it works all the time.
fn long(record: &Arc<Record>, trouble: bool) -> bool {
    let set = config(7, &[("r-3hwrr6x", PREFIX, "huvo11a")], &["huvo11a"]);
    let kinds: Vec<(&str, &str)> = (0..6).map(|at| ("huvo11a", if at % 3 == 2 { "b" } else { "a" })).collect();
    let play = Play::start(record, &kinds, &set);
    let job = "00000000000000a1";
    let millis = if trouble { 300_000 } else { 30_000 };
    play.client.accept(
        job,
        &format!("{{\"spec\":\"w0={millis}\",\"phases\":[{{\"count\":1,\"cpu\":1000,\"memMb\":64,\"estimateMs\":{millis},\"requiredLabel\":\"b\"}}]}}"),
    );
    let end = record.now();
    sleep(FINISH + seconds(36.0));
    let now = record.now();
    let all = spans(&record.events(), now);
    let (from, to) = longest_idle(&all, job, end + FINISH, now);
    let state = play.client.state(job);
    record.note(&format!("{} runs, state {state}", all.len()));
    let broken = state != "completed" && to - from >= seconds(3.0);
    if broken {
        record.note(&format!(
            "LOST: {job} is {state} and has had nothing running for {:.1} s; 0 of {} are in use",
            (to - from).as_secs_f64(),
            6 * ROOM
        ));
    }
    broken
}
