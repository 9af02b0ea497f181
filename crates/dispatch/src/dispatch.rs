//! The core: tables of entries, targets and tasks, and the systems that run over them.

use crate::{Action, End, EntryKey, Refusal, Repeat, Report, TargetKey, TaskKey, Work};
use indexmap::IndexMap;
use mangogw_model::{
    Announcement, AttemptId, Class, Code, Entry, EntryName, HostId, Incarnation, TargetName, Time, Usage,
};
use slotmap::SlotMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// What a core is opened with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host it runs on.
    pub host: HostId,
    /// The life of the host.
    pub incarnation: Incarnation,
    /// The seed of every draw it makes.
    pub seed: u64,
    /// How long a target is trusted after a heartbeat.
    pub lease: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { host: HostId(1), incarnation: Incarnation(1), seed: 1, lease: Duration::from_secs(4) }
    }
}

#[derive(Debug)]
struct EntryRow {
    name: EntryName,
    entry: Entry,
}

#[derive(Debug)]
struct TargetRow {
    said: Announcement,
    lease: Time,
    leaving: bool,
    running: u32,
}

#[derive(Debug)]
struct TaskRow {
    work: Work,
    tries: u32,
    attempt: Option<AttemptId>,
}

#[derive(Debug)]
struct AttemptRow {
    task: TaskKey,
    target: TargetKey,
}

/// The decision core of one host.
#[derive(Debug)]
pub struct Dispatch {
    settings: Settings,
    entries: SlotMap<EntryKey, EntryRow>,
    names: IndexMap<EntryName, EntryKey>,
    targets: SlotMap<TargetKey, TargetRow>,
    targets_by_name: IndexMap<TargetName, TargetKey>,
    tasks: SlotMap<TaskKey, TaskRow>,
    attempts: IndexMap<AttemptId, AttemptRow>,
    queues: [VecDeque<TaskKey>; 3],
    actions: Vec<Action>,
    serial: u64,
}

impl Dispatch {
    /// An empty core.
    ///
    /// ```
    /// use mangogw_dispatch::{Dispatch, Settings};
    /// assert!(Dispatch::open(Settings::default()).targets().next().is_none());
    /// ```
    pub fn open(settings: Settings) -> Self {
        Self {
            settings,
            entries: SlotMap::with_key(),
            names: IndexMap::new(),
            targets: SlotMap::with_key(),
            targets_by_name: IndexMap::new(),
            tasks: SlotMap::with_key(),
            attempts: IndexMap::new(),
            queues: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            actions: Vec::new(),
            serial: 0,
        }
    }

    /// Makes `entries` the catalogue in force. Entries that are gone take no more work; tasks of theirs go on.
    pub fn install(&mut self, _now: Time, entries: &IndexMap<EntryName, Entry>) {
        self.names.retain(|name, _| entries.contains_key(name));
        for (name, entry) in entries {
            match self.names.get(name) {
                Some(&key) => self.entries[key].entry = entry.clone(),
                None => {
                    let key = self.entries.insert(EntryRow { name: name.clone(), entry: entry.clone() });
                    self.names.insert(name.clone(), key);
                }
            }
        }
    }

    /// The key of an entry of the catalogue in force.
    pub fn entry(&self, name: &EntryName) -> Option<EntryKey> {
        self.names.get(name).copied()
    }

    /// The name and the settings of an entry.
    pub fn entry_of(&self, key: EntryKey) -> (&EntryName, &Entry) {
        let row = &self.entries[key];
        (&row.name, &row.entry)
    }

    /// Where tasks for a target are sent.
    pub fn address(&self, key: TargetKey) -> Option<SocketAddr> {
        self.targets.get(key).map(|row| row.said.address)
    }

    /// Every target, in the order in which they first announced themselves.
    pub fn targets(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.values().map(|row| &row.said)
    }

    /// Takes an announcement: a new target, or a later word of a known one.
    ///
    /// # Errors
    /// [`Code::StaleIncarnation`] if a later life of the target is known.
    pub fn announce(&mut self, now: Time, said: &Announcement) -> Result<TargetKey, Code> {
        let lease = now + self.settings.lease;
        match self.targets_by_name.get(&said.name) {
            Some(&key) if self.targets[key].said.incarnation > said.incarnation => Err(Code::StaleIncarnation),
            Some(&key) => {
                let row = &mut self.targets[key];
                row.said = said.clone();
                row.lease = lease;
                row.leaving = false;
                self.place(now);
                Ok(key)
            }
            None => {
                let row = TargetRow { said: said.clone(), lease, leaving: false, running: 0 };
                let key = self.targets.insert(row);
                self.targets_by_name.insert(said.name.clone(), key);
                self.place(now);
                Ok(key)
            }
        }
    }

    /// Renews the lease of a target.
    ///
    /// # Errors
    /// [`Code::UnknownTarget`] or [`Code::StaleIncarnation`].
    pub fn heartbeat(&mut self, now: Time, name: &TargetName, life: Incarnation) -> Result<(), Code> {
        let lease = now + self.settings.lease;
        let row = self.row(name)?;
        if row.said.incarnation != life {
            return Err(Code::StaleIncarnation);
        }
        row.lease = lease;
        Ok(())
    }

    /// Gives a target no more work.
    ///
    /// # Errors
    /// [`Code::UnknownTarget`].
    pub fn leave(&mut self, _now: Time, name: &TargetName) -> Result<(), Code> {
        self.row(name)?.leaving = true;
        Ok(())
    }

    /// Takes a usage report.
    ///
    /// # Errors
    /// [`Code::UnknownTarget`].
    pub fn usage(&mut self, _now: Time, name: &TargetName, _usage: &Usage) -> Result<(), Code> {
        self.row(name).map(|_| ())
    }

    /// Takes a task on, or refuses it at once.
    ///
    /// # Errors
    /// A [`Refusal`] whose outcome is always `not-run`.
    pub fn admit(&mut self, now: Time, work: Work) -> Result<TaskKey, Refusal> {
        let row = self.entries.get(work.entry).ok_or(Code::UnknownEntry)?;
        let queue = &mut self.queues[row.entry.class.index()];
        if work.deadline <= now {
            return Err(Code::Expired.into());
        }
        if queue.len() >= row.entry.limits.queue as usize {
            return Err(Refusal { code: Code::QueueFull, wait: Some(Duration::from_secs(1)) });
        }
        let key = self.tasks.insert(TaskRow { work, tries: 0, attempt: None });
        queue.push_back(key);
        self.place(now);
        Ok(key)
    }

    /// Cancels a task. One that is running is told to stop.
    pub fn cancel(&mut self, _now: Time, task: TaskKey) {
        let Some(row) = self.tasks.get(task) else { return };
        match row.attempt.and_then(|attempt| self.attempts.get(&attempt).map(|row| (attempt, row.target))) {
            Some((attempt, target)) => {
                self.actions.push(Action::Stop { attempt, target });
                self.end(task, End::Refused(Code::CancelledRunning.into()));
            }
            None => self.end(task, End::Refused(Code::Cancelled.into())),
        }
    }

    /// Takes what the shell saw of an attempt.
    pub fn report(&mut self, now: Time, attempt: AttemptId, report: Report) {
        let Some(row) = self.attempts.swap_remove(&attempt) else { return };
        if let Some(target) = self.targets.get_mut(row.target) {
            target.running -= 1;
        }
        if let Some(task) = self.tasks.get_mut(row.task).filter(|task| task.attempt == Some(attempt)) {
            task.attempt = None;
            let entry = &self.entries[task.work.entry].entry;
            let again = task.work.repeat == Repeat::Allowed && task.tries < entry.retry.tries;
            match report {
                Report::Answered => self.end(row.task, End::Answered(attempt)),
                Report::NotStarted => self.queues[entry.class.index()].push_front(row.task),
                _ if again => self.queues[entry.class.index()].push_front(row.task),
                Report::Failed => self.end(row.task, End::Refused(Code::TargetFailed.into())),
                Report::Cut => self.end(row.task, End::Refused(Code::AnswerCut.into())),
                Report::TooLarge => self.end(row.task, End::Refused(Code::AnswerTooLarge.into())),
                Report::Lost => self.end(row.task, End::Refused(Code::TargetLost.into())),
            }
        }
        self.place(now);
    }

    /// Runs the systems that depend on time.
    pub fn tick(&mut self, now: Time) {
        self.expire(now);
        self.place(now);
    }

    /// What is to be done since the last call.
    pub fn drain(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn row(&mut self, name: &TargetName) -> Result<&mut TargetRow, Code> {
        let key = *self.targets_by_name.get(name).ok_or(Code::UnknownTarget)?;
        Ok(&mut self.targets[key])
    }

    fn expire(&mut self, now: Time) {
        let late: Vec<_> = self.tasks.iter().filter(|(_, row)| row.work.deadline <= now).map(|(key, _)| key).collect();
        for task in late {
            let code = self.tasks[task].attempt.map_or(Code::Expired, |_| Code::DeadlinePassed);
            self.end(task, End::Refused(code.into()));
        }
    }

    fn place(&mut self, now: Time) {
        for class in Class::ALL {
            while let Some(&task) = self.queues[class.index()].front() {
                let Some(row) = self.tasks.get(task) else {
                    self.queues[class.index()].pop_front();
                    continue;
                };
                let name = &self.entries[row.work.entry].name;
                let free = |row: &TargetRow| !row.leaving && row.lease > now && row.running < row.said.capacity.slots;
                let target = self
                    .targets
                    .iter()
                    .find(|(_, row)| free(row) && row.said.entries.contains(name))
                    .map(|(key, _)| key);
                let Some(target) = target else { break };
                self.queues[class.index()].pop_front();
                self.start(task, target);
            }
        }
    }

    fn start(&mut self, task: TaskKey, target: TargetKey) {
        self.serial += 1;
        let attempt = AttemptId::new(self.settings.host, self.settings.incarnation, self.serial);
        self.targets[target].running += 1;
        let row = &mut self.tasks[task];
        row.tries += 1;
        row.attempt = Some(attempt);
        self.attempts.insert(attempt, AttemptRow { task, target });
        self.actions.push(Action::Start { task, attempt, target });
    }

    fn end(&mut self, task: TaskKey, end: End) {
        self.tasks.remove(task);
        self.actions.push(Action::End { task, end });
    }
}
