//! Tests of one leader with entry hosts that are lost or have used isolated zones.

use mangogw_control::{Call, Caller, ControlHost, Effect, HostInfo, Message, OrderId, Settings, found, host_at};
use mangogw_jobs::{
    ActiveRun, JobId, JobSpec, Listing, Order, OrderKind, Outcome, Queue, QueueSet, Resources, Step, TargetReport,
    TargetState,
};
use mangogw_model::{HostId, Time, Version, Zone};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

const LEADER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const TICK: Duration = Duration::from_millis(10);
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
const RESEND_DELAY: Duration = Duration::from_millis(1300);
const QUERY_PERIOD: Duration = Duration::from_millis(150);

/// The only control host. The target of zone a is silent; that of zone b carries out its orders, and its runs go on.
struct Leader {
    host: ControlHost,
    now: Time,
    last_query: Time,
    running: Vec<ActiveRun>,
    starts: usize,
    /// Time of the last order for zone a that the leader carried out itself.
    last_order: Time,
    /// Orders that have no outcome yet, each with the time of its outcome.
    orders: Vec<(Time, OrderId, Order)>,
}

impl Leader {
    /// Opens the leader with a queue and both targets.
    fn open(direct_targets: usize, resend_delay: Duration) -> Self {
        let settings = Settings {
            host: host_at(LEADER, 0),
            seed: 1,
            port: 7720,
            seeds: Vec::new(),
            zone: Zone::from("b"),
            zones: Vec::new(),
            cpu_millicores: 250,
            direct_targets,
            voters: 3,
            jobs: mangogw_jobs::Settings::default(),
            reply_timeout: Duration::from_millis(900),
            resend_delay,
        };
        let host = ControlHost::open(settings, Some(found(LEADER, &[LEADER])), Time::ZERO);
        let mut leader = Self {
            host,
            now: Time::ZERO,
            last_query: Time::ZERO,
            running: Vec::new(),
            starts: 0,
            last_order: Time::ZERO,
            orders: Vec::new(),
        };
        leader.run(Duration::from_secs(1), &[]);
        let queue = Queue {
            name: "q".to_owned(),
            host_name: "h".to_owned(),
            prefix: "/p/".to_owned(),
            pool: "pool".to_owned(),
            stretch: 10.0,
            slack: 60_000,
            timeout: 60_000,
            ..Queue::default()
        };
        let set = QueueSet { version: Version(1), queues: vec![queue], ..QueueSet::default() };
        leader.host.on_call(leader.now, Caller(1), Call::Install(Arc::new(set)));
        leader.report(1, "a");
        leader.report(2, "b");
        leader.run(Duration::from_secs(5), &[]);
        assert!(leader.host.is_leader());
        assert_eq!(leader.host.metrics(leader.now).confirmed, 1);
        leader
    }

    fn report(&mut self, number: u8, zone: &str) {
        let report = TargetReport {
            id: format!("w{number}"),
            incarnation: 1,
            sequence: 1,
            pool: "pool".to_owned(),
            address: format!("10.9.0.{number}:80").parse().unwrap(),
            zone: Zone::from(zone),
            labels: Vec::new(),
            resources: Resources { cpu: 16_000, memory: 32_000, accelerators: 0 },
            state: TargetState::Ready,
        };
        self.host.on_call(self.now, Caller(1 + u64::from(number)), Call::Report(report));
    }

    /// Runs for `span` with entry hosts of zone a that have used isolated zones with these tokens.
    fn run(&mut self, span: Duration, tokens: &[u64]) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            if self.now - self.last_query >= QUERY_PERIOD {
                self.last_query = self.now;
                for (entry, token) in (1_u8..).zip(tokens) {
                    let query = Message::FindLeader(HostInfo {
                        incarnation: 7,
                        zone: Zone::from("a"),
                        cpu_millicores: 250,
                        leaderless_for: Duration::ZERO,
                        version: Version(1),
                        isolated_token: *token,
                    });
                    self.host.on_message(self.now, entry_host(entry), query);
                }
            }
            let now = self.now;
            for (_, id, order) in self.orders.extract_if(.., |(due, ..)| *due <= now).collect::<Vec<_>>() {
                let outcome = self.outcome(&order);
                self.host.on_outcome(now, id, outcome);
            }
            self.host.on_tick(self.now);
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        loop {
            let effects = self.host.drain(self.now);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Write(write) => self.host.on_synced(self.now, write.id),
                    Effect::Order { id, order } => {
                        let span = match order.kind {
                            _ if order.zone == Zone::from("a") => ORDER_TIMEOUT,
                            OrderKind::Renew { wait, .. } => TICK + wait,
                            OrderKind::Start { .. } | OrderKind::Stop { .. } => TICK,
                        };
                        self.last_order = if order.zone == Zone::from("a") { self.now } else { self.last_order };
                        self.orders.push((self.now + span, id, order));
                    }
                    Effect::Halt { why } => panic!("halted: {why}"),
                    Effect::Send { to, messages } if to.ip() == LEADER => {
                        for message in messages {
                            self.host.on_message(self.now, host_at(LEADER, 0), message);
                        }
                    }
                    Effect::Reply { .. } | Effect::Send { .. } => {}
                }
            }
        }
    }

    fn outcome(&mut self, order: &Order) -> Outcome {
        let clock = self.now.as_micros() / 1000;
        match &order.kind {
            _ if order.zone == Zone::from("a") => return Outcome::Unsure,
            OrderKind::Start { task, run, .. } => {
                self.starts += 1;
                self.running.push(ActiveRun { task: *task, run: *run, ..ActiveRun::default() });
            }
            OrderKind::Stop { task, .. } => self.running.retain(|active| active.task != *task),
            OrderKind::Renew { .. } => {
                let running = self.running.clone();
                return Outcome::Listed(Listing { incarnation: Some(1), clock, running, ..Listing::default() });
            }
        }
        Outcome::Done { clock }
    }
}

fn entry_host(number: u8) -> HostId {
    host_at(Ipv4Addr::new(10, 1, 1, number), 0)
}

/// Returns a call of an entry host with a job that has been sent before.
fn resent_job(id: u64) -> Message {
    let steps = vec![Step { count: 1, estimate: 100, ..Step::default() }];
    let spec = Arc::new(JobSpec { steps, transient: true, ..JobSpec::default() });
    let timeout = Some(Duration::from_secs(50));
    let call = Call::Submit { host: "h".to_owned(), path: "/p/".to_owned(), id: JobId(id), spec, timeout };
    Message::Call { serial: id, first_attempt: false, call }
}

/// Guards against jobs that wait for good after a zone was isolated: hosts of the zone that have used different leaders of
/// it name them by turns, each change reclaims the zone's targets anew, and the lease of a silent one never ends.
#[test]
fn jobs_start_again_after_a_zone_with_two_isolated_leaders_is_back() {
    for tokens in [&[5][..], &[5, 9][..]] {
        let mut leader = Leader::open(96, RESEND_DELAY);
        leader.run(Duration::from_secs(1), tokens);
        let now = leader.now;
        leader.host.on_message(now, entry_host(1), resent_job(77));
        leader.run(Duration::from_secs(20), tokens);
        assert!(leader.starts > 0, "tokens {tokens:?}: the job did not start in 20 s");
    }
}

/// Guards against orders that go to a lost forwarder for good, where clients send again so soon that the host is given up
/// before it counts as unusable.
#[test]
fn orders_find_another_way_after_their_forwarder_is_lost() {
    for resend_delay in [700, 1300].map(Duration::from_millis) {
        let mut leader = Leader::open(0, resend_delay);
        leader.run(Duration::from_secs(1), &[0]);
        // A target that is silent, so that the leader goes on asking it.
        leader.report(3, "a");
        leader.run(Duration::from_secs(1), &[0]);
        assert!(leader.now - leader.last_order > Duration::from_secs(1), "orders are forwarded");
        leader.run(Duration::from_secs(3), &[]);
        let silence = leader.now - leader.last_order;
        assert!(silence < Duration::from_millis(1500), "resend delay {resend_delay:?}: no order for {silence:?}");
    }
}

/// Guards against a refusal that its client doesn't get: an entry host that is told that its call is unknown, while the
/// refusal is on its way, sends the call again and can't promise any more that it was not run.
#[test]
fn a_call_with_an_answer_on_its_way_is_not_unknown() {
    let mut leader = Leader::open(100, RESEND_DELAY);
    let need = Resources { cpu: 160_000, memory: 1, accelerators: 0 };
    let step = Step { count: 1, need, estimate: 100, ..Step::default() };
    let spec = Arc::new(JobSpec { steps: vec![step], transient: true, ..JobSpec::default() });
    let timeout = Some(Duration::from_millis(200));
    let call = Call::Submit { host: "h".to_owned(), path: "/p/".to_owned(), id: JobId(5), spec, timeout };
    leader.host.on_message(leader.now, entry_host(1), Message::Call { serial: 5, first_attempt: true, call });
    let mut answers = 0;
    for _ in 0..40 {
        leader.now += TICK;
        leader.host.on_tick(leader.now);
        leader.host.on_message(leader.now, entry_host(1), Message::OpenCalls(vec![5]));
        let sent = leader.host.drain(leader.now).into_iter().filter_map(|effect| match effect {
            Effect::Send { messages, .. } => Some(messages),
            _ => None,
        });
        let sent: Vec<Message> = sent.flatten().collect();
        if sent.iter().any(|message| matches!(message, Message::Answer { serial: 5, .. })) {
            answers += 1;
            assert!(!sent.iter().any(|message| matches!(message, Message::UnknownCalls(_))), "{sent:?}");
            break;
        }
    }
    assert_eq!(answers, 1);
}
