//! The dispatch core as a policy of the simulation.

use super::trace::Trace;
use super::{AttemptResult, Order, Policy};
use indexmap::IndexMap;
use mangogw_dispatch::{
    Action, AttemptReport, Dispatch, End, EntryKey, Refusal, RepeatPolicy, Settings, TargetKey, TaskKey, TaskSpec,
};
use mangogw_model::{
    Announcement, AttemptId, Capacity, Entry, EntryName, Hedge, HostId, Incarnation, Kind, Limits, Needs, TargetName,
    Time,
};
use std::time::Duration;

/// Interval at which targets renew their leases.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Dispatch core, with its keys mapped to the numbers of the trace.
#[derive(Debug)]
pub struct DispatchPolicy {
    pub core: Dispatch,
    entries: Vec<EntryKey>,
    names: Vec<TargetName>,
    keys: IndexMap<TargetKey, u32>,
    tasks: IndexMap<TaskKey, u32>,
    /// Tasks that ended with a refusal, at admission or later.
    pub refused: Vec<(u32, Refusal)>,
    orders: Vec<Order>,
    next_heartbeat: Time,
}

impl DispatchPolicy {
    /// Opens a core with the entries and targets of a trace; `hedge` is the hedge budget of every entry.
    pub fn open(trace: &Trace, hedge: f64) -> Self {
        let settings =
            Settings { seed: trace.seed, zone: "z0".into(), zone_rtt: trace.deployment.far * 2, ..Settings::default() };
        let mut core = Dispatch::open(settings);
        let catalogue: IndexMap<EntryName, Entry> = trace
            .streams
            .iter()
            .enumerate()
            .map(|(at, stream)| {
                let entry = Entry {
                    owner: stream.owner.into(),
                    class: stream.class,
                    weight: stream.weight,
                    repeatable: true,
                    limits: Limits { queue: 100_000, ..Limits::default() },
                    hedge: Hedge { budget: hedge, ..Hedge::default() },
                    ..Entry::default()
                };
                (format!("e{at}").as_str().into(), entry)
            })
            .collect();
        core.install(Time::ZERO, &catalogue);
        let entries = catalogue.keys().filter_map(|name| core.entry_key(name)).collect();
        let mut keys = IndexMap::new();
        let mut names = Vec::new();
        for (at, target) in trace.targets.iter().enumerate() {
            let announcement = Announcement {
                name: format!("t{at}").as_str().into(),
                address: ([127, 0, 0, 1], 9000).into(),
                zone: format!("z{}", target.zone).as_str().into(),
                rack: format!("r{}", at / 8).as_str().into(),
                kind: Kind::Executor,
                entries: catalogue.keys().cloned().collect(),
                capacity: Capacity { slots: target.slots as u32, ..Capacity::default() },
                incarnation: Incarnation(1),
                running: Vec::new(),
                connections: 60,
            };
            let key = core.announce(Time::ZERO, &announcement).expect("the first announcement of a target is accepted");
            keys.insert(key, at as u32);
            names.push(announcement.name);
        }
        Self {
            core,
            entries,
            names,
            keys,
            tasks: IndexMap::new(),
            refused: Vec::new(),
            orders: Vec::new(),
            next_heartbeat: Time::ZERO + HEARTBEAT_INTERVAL,
        }
    }

    /// Turns the pending actions of the core into orders.
    fn translate_actions(&mut self) {
        for action in self.core.drain() {
            match action {
                Action::Start { task, attempt, target } => self.orders.push(Order::Start {
                    task: self.tasks[&task],
                    attempt: attempt.serial(),
                    target: self.keys[&target],
                }),
                Action::Stop { attempt, target } => {
                    self.orders.push(Order::Stop { attempt: attempt.serial(), target: self.keys[&target] });
                }
                Action::End { task, end } => {
                    let at = self.tasks[&task];
                    self.tasks.swap_remove(&task);
                    if let End::Refused(refusal) = end {
                        self.refused.push((at, refusal));
                    }
                    self.orders.push(Order::End { task: at, answered: matches!(end, End::Answered(_)) });
                }
                _ => {}
            }
        }
    }
}

impl Policy for DispatchPolicy {
    fn on_arrival(&mut self, now: Time, trace: &Trace, task: u32) {
        let arrival = trace.arrivals[task as usize];
        let spec = TaskSpec {
            entry: self.entries[arrival.stream],
            needs: Needs { estimate_ms: arrival.hint, ..Needs::default() },
            deadline: now + trace.streams[arrival.stream].deadline,
            repeat: RepeatPolicy::Allowed,
            job: 0,
        };
        match self.core.admit(now, spec) {
            Ok(key) => {
                self.tasks.insert(key, task);
            }
            Err(refusal) => {
                self.refused.push((task, refusal));
                self.orders.push(Order::End { task, answered: false });
            }
        }
        self.translate_actions();
    }

    fn on_reply(&mut self, now: Time, attempt: u64, _target: u32, result: AttemptResult) {
        let report = if result == AttemptResult::Answered { AttemptReport::Answered } else { AttemptReport::Failed };
        self.core.report(now, AttemptId::new(HostId(1), Incarnation(1), attempt), report);
        self.translate_actions();
    }

    fn tick(&mut self, now: Time) {
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            for name in &self.names {
                self.core.heartbeat(now, name, Incarnation(1)).expect("the target is known");
            }
        }
        self.core.tick(now);
        self.translate_actions();
    }

    fn next_wakeup(&self) -> Option<Time> {
        Some(self.core.next_wakeup().map_or(self.next_heartbeat, |at| at.min(self.next_heartbeat)))
    }

    fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    fn wasted_messages(&self) -> u64 {
        self.core.waste().messages()
    }
}
