//! The host value: its tables, its inputs and its effects.

use crate::ask::{Ask, Job as NewJob};
use crate::effect::{Answer, Caller, Effect, Lease, Refused, Reply, Seen, Start};
use crate::jobs::{End as JobEnd, Job, Jobs, Waiter};
use crate::units::{Origin, Unit, Units};
use bytes::Bytes;
use mangogw_catalogue::Catalogue;
use mangogw_dispatch::{Action, Dispatch, End, EntryKey, Refusal, Repeat, Report, TaskKey, Work};
use mangogw_model::{AttemptId, Code, Entry, EntryName, HostId, Incarnation, Key, Needs, TaskIndex, Time, Zone};
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Tasks of the largest job.
const MAX_TASKS: usize = 10_000;
/// The longest time a reader may wait for the end of a job.
const MAX_WAIT: Duration = Duration::from_mins(1);
/// Heartbeats in the time of a target's lease.
const BEATS_PER_LEASE: u32 = 4;

/// What a host is opened with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The id of the host.
    pub host: HostId,
    /// The life of the host; rises with every start of its process.
    pub incarnation: Incarnation,
    /// The zone it stands in.
    pub zone: Zone,
    /// The seed of every draw it makes.
    pub seed: u64,
    /// How long a target is trusted after a heartbeat.
    pub lease: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            host: HostId(1),
            incarnation: Incarnation(1),
            zone: "zone-1".into(),
            seed: 1,
            lease: Duration::from_secs(4),
        }
    }
}

/// One host of the system.
#[derive(Debug)]
pub struct Host {
    settings: Settings,
    dispatch: Dispatch,
    units: Units,
    jobs: Jobs,
    effects: Vec<Effect>,
    minted: u64,
    draining: bool,
}

impl Host {
    /// A host with an empty catalogue.
    pub fn open(settings: Settings, _now: Time) -> Self {
        let dispatch = Dispatch::open(mangogw_dispatch::Settings {
            host: settings.host,
            incarnation: settings.incarnation,
            seed: settings.seed,
            lease: settings.lease,
            zone: settings.zone.clone(),
            ..mangogw_dispatch::Settings::default()
        });
        Self {
            settings,
            dispatch,
            units: Units::new(),
            jobs: Jobs::default(),
            effects: Vec::new(),
            minted: 0,
            draining: false,
        }
    }

    /// Makes `catalogue` the one in force.
    pub fn install(&mut self, now: Time, catalogue: &Catalogue) {
        let entries = catalogue.entries().iter().map(|(name, entry)| (name.clone(), Entry::clone(entry))).collect();
        self.dispatch.install(now, &entries);
        self.settle(now);
    }

    /// Takes a request of a caller or a target.
    pub fn on_request(&mut self, now: Time, caller: Caller, ask: Ask) {
        match ask {
            Ask::Run { entry, key, within, body } => self.run(now, caller, &entry, key, within, body),
            Ask::Submit(job) => self.submit(now, caller, job),
            Ask::Read { key, wait } => self.read(now, caller, &key, wait),
            Ask::Cancel { key } => self.cancel(now, caller, &key),
            Ask::Announce(said) => {
                let taken = self.dispatch.announce(now, &said).map(|_| Reply::Lease(self.lease()));
                self.reply_or_refuse(caller, taken);
            }
            Ask::Heartbeat { name, life } => {
                let taken = self.dispatch.heartbeat(now, &name, life).map(|()| Reply::Lease(self.lease()));
                self.reply_or_refuse(caller, taken);
            }
            Ask::Leave { name } => {
                let taken = self.dispatch.leave(now, &name).map(|()| Reply::Done);
                self.reply_or_refuse(caller, taken);
            }
            Ask::Usage { name, usage } => {
                let taken = self.dispatch.usage(now, &name, &usage).map(|()| Reply::Done);
                self.reply_or_refuse(caller, taken);
            }
        }
        self.settle(now);
    }

    /// Takes what the shell saw of an attempt.
    pub fn on_answer(&mut self, now: Time, task: TaskKey, attempt: AttemptId, seen: Seen) {
        let report = match seen {
            Seen::Other(report) => report,
            Seen::Answer(answer) if answer.status >= 500 => Report::Failed,
            Seen::Answer(answer) => {
                if let Some(unit) = self.units.get_mut(task) {
                    unit.answer = Some(answer);
                }
                Report::Answered
            }
        };
        self.dispatch.report(now, attempt, report);
        self.settle(now);
    }

    /// Runs everything that depends on time.
    pub fn on_tick(&mut self, now: Time) {
        self.dispatch.tick(now);
        self.settle(now);
        self.release(now);
    }

    /// Takes no new work from now on; what was taken goes on.
    pub fn on_drain(&mut self, _now: Time) {
        self.draining = true;
    }

    /// True if nothing is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.units.is_empty()
    }

    /// What is to be done since the last call.
    pub fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn lease(&self) -> Lease {
        Lease { heartbeat: self.settings.lease / BEATS_PER_LEASE, lease: self.settings.lease }
    }

    fn reply(&mut self, caller: Caller, reply: Reply) {
        self.effects.push(Effect::Reply { caller, reply });
    }

    fn refuse(&mut self, caller: Caller, refused: Refused) {
        self.reply(caller, Reply::Refused(refused));
    }

    fn reply_or_refuse(&mut self, caller: Caller, taken: Result<Reply, Code>) {
        match taken {
            Ok(reply) => self.reply(caller, reply),
            Err(code) => self.refuse(caller, Refused::new(code, code.title())),
        }
    }

    fn mint(&mut self) -> Key {
        self.minted += 1;
        let Settings { host, incarnation, zone, .. } = &self.settings;
        Key::from(format!(
            "{zone}:{host:x}-{incarnation:x}-{:x}",
            self.minted,
            host = host.0,
            incarnation = incarnation.0
        ))
    }

    fn find(&self, name: &EntryName, bytes: usize) -> Result<EntryKey, Refused> {
        if self.draining {
            return Err(Refused::new(Code::Draining, "send it to another host"));
        }
        let key = self.dispatch.entry(name);
        let key = key.ok_or_else(|| Refused::new(Code::UnknownEntry, format!("no entry {name} in the catalogue")))?;
        let limit = self.dispatch.entry_of(key).1.limits.body_bytes;
        if bytes as u64 > limit {
            return Err(Refused::new(Code::BodyTooLarge, format!("{bytes} bytes, the limit of {name} is {limit}")));
        }
        Ok(key)
    }

    fn run(
        &mut self,
        now: Time,
        caller: Caller,
        name: &EntryName,
        key: Option<Key>,
        within: Option<Duration>,
        body: Bytes,
    ) {
        let entry = match self.find(name, body.len()) {
            Ok(entry) => entry,
            Err(refused) => return self.refuse(caller, refused),
        };
        let key = key.unwrap_or_else(|| self.mint());
        let repeatable = self.dispatch.entry_of(entry).1.repeatable;
        let repeat = if repeatable { Repeat::Allowed } else { Repeat::Never };
        let place = Place { entry, key: key.clone(), within, repeat, job: 0 };
        let admitted = self.admit(now, &place, Origin::Caller(caller), TaskIndex(0), Needs::default(), body);
        if let Err(refusal) = admitted {
            self.refuse(caller, Refused::from(refusal).of(key));
        }
    }

    fn admit(
        &mut self,
        now: Time,
        place: &Place,
        origin: Origin,
        index: TaskIndex,
        needs: Needs,
        body: Bytes,
    ) -> Result<TaskKey, Refusal> {
        let (name, entry) = self.dispatch.entry_of(place.entry);
        let deadline = now + place.within.unwrap_or(entry.deadline());
        let unit = Unit {
            origin,
            entry: name.clone(),
            key: place.key.clone(),
            index,
            body,
            deadline,
            limit: entry.limits.answer_bytes,
            answer: None,
        };
        let work = Work { entry: place.entry, needs, deadline, repeat: place.repeat, job: place.job };
        let task = self.dispatch.admit(now, work)?;
        self.units.insert(task, unit);
        Ok(task)
    }

    fn submit(&mut self, now: Time, caller: Caller, new: NewJob) {
        let largest = new.tasks.iter().map(|task| task.body.len()).max().unwrap_or(0);
        let entry = match self.find(&new.entry, largest) {
            Ok(_) if new.tasks.len() > MAX_TASKS => {
                let detail = format!("{} tasks, the limit is {MAX_TASKS}", new.tasks.len());
                return self.refuse(caller, Refused::new(Code::TooManyTasks, detail));
            }
            Ok(entry) => entry,
            Err(refused) => return self.refuse(caller, refused),
        };
        let digest = digest(&new);
        let key = new.key.clone().unwrap_or_else(|| self.mint());
        match self.jobs.get(&key) {
            Some(job) if job.digest != digest => {
                let detail = format!("key {key} names another submission");
                return self.refuse(caller, Refused::new(Code::KeyReused, detail).of(key));
            }
            Some(job) => {
                let view = job.view(&key);
                return self.reply(caller, Reply::Job(view));
            }
            None => {}
        }
        self.jobs.insert(key.clone(), Job::new(digest, new.tasks.len()));
        let place = Place {
            entry,
            key: key.clone(),
            within: new.within,
            repeat: Repeat::Never,
            job: u64::from_le_bytes([
                digest[0], digest[1], digest[2], digest[3], digest[4], digest[5], digest[6], digest[7],
            ]) | 1,
        };
        for (index, task) in new.tasks.into_iter().enumerate() {
            let index = TaskIndex(index as u32);
            match self.admit(now, &place, Origin::Job, index, task.needs, task.body) {
                Ok(task) => self.jobs[&key].tasks.push(task),
                Err(refusal) => {
                    self.fail(now, &key, refusal.code, Some(index));
                    break;
                }
            }
        }
        let view = self.jobs[&key].view(&key);
        self.reply(caller, Reply::Job(view));
    }

    fn read(&mut self, now: Time, caller: Caller, key: &Key, wait: Duration) {
        match self.jobs.get_mut(key) {
            None => self.refuse(caller, Refused::new(Code::UnknownJob, format!("no job {key}")).of(key.clone())),
            Some(job) if job.end.is_none() && !wait.is_zero() => {
                job.waiters.push(Waiter { caller, until: now + wait.min(MAX_WAIT) });
            }
            Some(job) => {
                let view = job.view(key);
                self.reply(caller, Reply::Job(view));
            }
        }
    }

    fn cancel(&mut self, now: Time, caller: Caller, key: &Key) {
        if !self.jobs.contains_key(key) {
            return self.refuse(caller, Refused::new(Code::UnknownJob, format!("no job {key}")).of(key.clone()));
        }
        self.fail(now, key, Code::Cancelled, None);
        let view = self.jobs[key].view(key);
        self.reply(caller, Reply::Job(view));
    }

    /// Fails a job as a whole and cancels what is left of it.
    fn fail(&mut self, now: Time, key: &Key, code: Code, culprit: Option<TaskIndex>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let started = job.tasks.iter().any(|task| !self.units.contains_key(*task)) || job.missing < job.answers.len();
        let code = match code {
            Code::Cancelled if started => Code::CancelledRunning,
            code => code,
        };
        if !job.fail(code, culprit) {
            return;
        }
        for task in std::mem::take(&mut job.tasks) {
            self.dispatch.cancel(now, task);
        }
        self.finish(key);
    }

    /// Answers everyone who waits for the end of a job.
    fn finish(&mut self, key: &Key) {
        let job = &mut self.jobs[key];
        let view = job.view(key);
        for waiter in std::mem::take(&mut job.waiters) {
            self.effects.push(Effect::Reply { caller: waiter.caller, reply: Reply::Job(view.clone()) });
        }
    }

    /// Answers waiting readers whose time is up.
    fn release(&mut self, now: Time) {
        let mut due = Vec::new();
        for (key, job) in self.jobs.iter_mut().filter(|(_, job)| !job.waiters.is_empty()) {
            let view = job.view(key);
            job.waiters.retain(|waiter| {
                let keep = waiter.until > now;
                if !keep {
                    due.push((waiter.caller, view.clone()));
                }
                keep
            });
        }
        for (caller, view) in due {
            self.reply(caller, Reply::Job(view));
        }
    }

    /// Turns what the dispatch core decided into effects, until it has nothing more to say.
    fn settle(&mut self, now: Time) {
        loop {
            let actions = self.dispatch.drain();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.act(now, action);
            }
        }
    }

    fn act(&mut self, now: Time, action: Action) {
        let address = |target| self.dispatch.address(target);
        match action {
            Action::Start { task, attempt, target } => match (address(target), self.units.get(task)) {
                (Some(address), Some(unit)) => self.effects.push(Effect::Start(start(task, attempt, address, unit))),
                _ => self.dispatch.report(now, attempt, Report::NotStarted),
            },
            Action::Stop { attempt, target } => {
                self.effects.extend(address(target).map(|address| Effect::Stop { attempt, address }));
            }
            Action::Throttle { attempt, target } => {
                self.effects.extend(address(target).map(|address| Effect::Throttle { attempt, address }));
            }
            Action::Checkpoint { attempt, target } => {
                self.effects.extend(address(target).map(|address| Effect::Checkpoint { attempt, address }));
            }
            Action::Resume { attempt, target } => {
                self.effects.extend(address(target).map(|address| Effect::Resume { attempt, address }));
            }
            Action::End { task, end } => self.ended(now, task, end),
        }
    }

    fn ended(&mut self, now: Time, task: TaskKey, end: End) {
        let Some(unit) = self.units.remove(task) else { return };
        let Unit { origin, key, index, answer, .. } = unit;
        match (origin, end, answer) {
            (Origin::Caller(caller), End::Answered(_), Some(answer)) => {
                self.reply(caller, Reply::Answer { key, answer });
            }
            (Origin::Caller(caller), End::Refused(refusal), _) => self.refuse(caller, Refused::from(refusal).of(key)),
            (Origin::Caller(caller), End::Answered(_), None) => {
                self.refuse(caller, Refused::new(Code::Internal, "the answer is missing").of(key));
            }
            (Origin::Job, End::Answered(_), Some(answer)) => self.answer_job(&key, index, answer),
            (Origin::Job, End::Answered(_), None) => self.fail(now, &key, Code::Internal, Some(index)),
            (Origin::Job, End::Refused(refusal), _) => self.fail(now, &key, refusal.code, Some(index)),
        }
    }

    fn answer_job(&mut self, key: &Key, index: TaskIndex, answer: Answer) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.answer(index, answer) {
            debug_assert!(matches!(job.end, Some(JobEnd::Complete)), "an answered job is complete");
            self.finish(key);
        }
    }
}

/// What all tasks of one submission share.
#[derive(Debug)]
struct Place {
    entry: EntryKey,
    key: Key,
    within: Option<Duration>,
    repeat: Repeat,
    job: u64,
}

fn start(task: TaskKey, attempt: AttemptId, address: std::net::SocketAddr, unit: &Unit) -> Start {
    Start {
        unit: task,
        attempt,
        address,
        entry: unit.entry.clone(),
        key: unit.key.clone(),
        task: unit.index,
        body: unit.body.clone(),
        deadline: unit.deadline,
        limit: unit.limit,
    }
}

fn digest(job: &NewJob) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(job.entry.as_str());
    for task in &job.tasks {
        hash.update((task.body.len() as u64).to_le_bytes());
        hash.update(&task.body);
    }
    hash.finalize().into()
}
