//! Runs a [`ControlHost`], which runs jobs on leased targets, on real links, a disk and a timer, and answers its
//! callers.

use crate::clock::Clock;
use crate::contain::contain;
use crate::disk::{self, DiskEvent};
use crate::links::{Identity, Inbox, Links};
use indexmap::IndexMap;
use mangogw_control::{Call, Caller, ControlHost, Effect, HostMetrics, Message, OrderId, Reply};
use mangogw_jobs::{Order, Outcome};
use mangogw_model::{HostId, Incarnation, Time};
use mangogw_store::{Disk, DurableState, Folder, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;

/// Time between two ticks of the control host.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Sends orders to targets.
pub trait TargetClient: Send + Sync + 'static {
    /// Sends `order` to its target and returns the outcome.
    fn send(&self, order: &Order) -> impl Future<Output = Outcome> + Send;
}

/// A running control host.
#[derive(Debug)]
pub struct Shell<C> {
    clock: Clock,
    host: Mutex<ControlHost>,
    callers: Mutex<IndexMap<Caller, oneshot::Sender<Reply>>>,
    client: C,
    links: Links,
    /// Queue of the writes; `None` without a data folder. Locked after `host`.
    disk: Mutex<Option<Sender<Write>>>,
    /// Number of the next caller.
    next_caller: AtomicU64,
    /// Notified after each input to the control host.
    inputs: Notify,
    halted: watch::Sender<bool>,
    runtime: Handle,
}

impl<C: TargetClient> Shell<C> {
    /// Starts a control host and returns its shell. Timer and effects run until the returned handle is aborted.
    ///
    /// # Errors
    /// The error of the operating system if the thread of the data folder can't be started.
    pub fn spawn<D>(
        mut settings: mangogw_control::Settings,
        cluster: &str,
        folder: Option<(Folder<D>, DurableState)>,
        client: C,
    ) -> std::io::Result<(Arc<Self>, JoinHandle<()>)>
    where
        D: Disk<File: Send> + Clone + Send + 'static,
    {
        let clock = Clock::start();
        settings.jobs.wall_offset = crate::clock::unix_millis();
        let incarnation = Incarnation(settings.seed);
        let identity = Identity { cluster: cluster.to_owned(), host: settings.host, incarnation };
        let (folder, stored) = folder.unzip();
        let shell = Arc::new(Self {
            clock,
            host: Mutex::new(ControlHost::open(settings, stored, clock.now())),
            callers: Mutex::default(),
            client,
            links: Links::new(identity),
            disk: Mutex::default(),
            next_caller: AtomicU64::new(0),
            inputs: Notify::new(),
            halted: watch::Sender::new(false),
            runtime: Handle::current(),
        });
        if let Some(folder) = folder {
            let weak = Arc::downgrade(&shell);
            let writes = disk::spawn(folder, move |event| on_disk_event(&weak, event))?;
            shell.set_disk(writes);
        }
        let owned = Arc::clone(&shell);
        let timer = tokio::spawn(async move {
            tokio::join!(Arc::clone(&owned).run_timer(), owned.run_effects());
        });
        Ok((shell, timer))
    }

    /// Returns the links to other hosts.
    pub const fn links(&self) -> &Links {
        &self.links
    }

    /// Returns a watch that turns true when this process must end.
    pub fn halted(&self) -> watch::Receiver<bool> {
        self.halted.subscribe()
    }

    /// Returns true if the control host takes calls.
    pub fn is_ready(&self) -> bool {
        self.host.lock().unwrap_or_else(PoisonError::into_inner).is_ready(self.clock.now())
    }

    /// Returns the metrics of the control host.
    pub fn view(&self) -> HostMetrics {
        self.host.lock().unwrap_or_else(PoisonError::into_inner).metrics(self.clock.now())
    }

    /// Prepares the end of this process: hands leadership over to another host, if this host is the leader, and ends
    /// every call within `time_left`.
    pub fn stop_within(self: &Arc<Self>, time_left: Duration) {
        self.step(|host, now| {
            host.on_leaving(now);
            host.on_stopping(now, now + time_left);
        });
    }

    /// Replaces the seeds, which are control addresses of hosts of the control group.
    pub fn set_seeds(self: &Arc<Self>, seeds: &[std::net::SocketAddr]) {
        self.step(|host, _| host.set_seeds(seeds));
    }

    /// Makes a call and waits for its reply; [`Reply::Unclear`] if the shell drops the call. Dropping the future tells
    /// the control host that the caller has disconnected.
    pub async fn call(self: &Arc<Self>, call: Call) -> Reply {
        let caller = Caller(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.callers.lock().unwrap_or_else(PoisonError::into_inner).insert(caller, sender);
        let guard = DisconnectGuard { shell: self, caller };
        self.step(|host, now| host.on_call(now, caller, call));
        let reply = receiver.await;
        drop(guard);
        reply.unwrap_or(Reply::Unclear)
    }

    /// Passes one input to the control host. Its effects are performed after all inputs that are ready have been
    /// passed. A panic over the input drops it.
    fn step(self: &Arc<Self>, input: impl FnOnce(&mut ControlHost, Time)) {
        let mut host = self.host.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        contain("input", || input(&mut host, now));
        drop(host);
        self.inputs.notify_one();
    }

    /// Passes an input on which the replicated log depends. After a panic over it this process must end, since the
    /// state in memory may differ from what this host has promised to others.
    fn step_or_halt(self: &Arc<Self>, input: impl FnOnce(&mut ControlHost, Time)) {
        let mut host = self.host.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let done = contain("log", || input(&mut host, now));
        drop(host);
        self.halt_unless(done.is_some());
        self.inputs.notify_one();
    }

    /// Passes the messages of one frame to the control host; a panic over one drops that message only.
    fn receive(self: &Arc<Self>, from: HostId, messages: Vec<Message>) {
        let mut host = self.host.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        for message in messages {
            let of_log = matches!(message, Message::Raft(_));
            let handled = contain("message", || host.on_message(now, from, message));
            self.halt_unless(handled.is_some() || !of_log);
        }
        drop(host);
        self.inputs.notify_one();
    }

    fn set_disk(&self, writes: Sender<Write>) {
        *self.disk.lock().unwrap_or_else(PoisonError::into_inner) = Some(writes);
    }

    fn halt_unless(&self, sound: bool) {
        if !sound {
            self.halted.send_replace(true);
        }
    }

    /// Performs the effects of the control host after each burst of inputs.
    async fn run_effects(self: Arc<Self>) {
        loop {
            self.inputs.notified().await;
            // Lets every task that is ready pass its input first.
            tokio::task::yield_now().await;
            for effect in self.drain() {
                self.perform(effect);
            }
        }
    }

    /// Takes the effects out of the control host. Writes are queued under the lock, which keeps their order.
    fn drain(&self) -> Vec<Effect> {
        let mut host = self.host.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let drained = contain("effects", || host.drain(now));
        self.halt_unless(drained.is_some());
        let mut effects = drained.unwrap_or_default();
        effects.retain_mut(|effect| !self.take_write(effect));
        effects
    }

    /// Queues the effect for the disk if it is a write; returns true if it was.
    fn take_write(&self, effect: &mut Effect) -> bool {
        let Effect::Write(write) = effect else { return false };
        let write = std::mem::replace(write, Write { id: write.id, ops: Vec::new() });
        match &*self.disk.lock().unwrap_or_else(PoisonError::into_inner) {
            // The queue is closed only after a failed write, which has been reported to the control host.
            Some(disk) => drop(disk.send(write)),
            None => log::error!("shell: write dropped; this host has no data folder"),
        }
        true
    }

    fn perform(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => {
                let sender = self.callers.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&caller);
                if let Some(sender) = sender {
                    // A caller that has disconnected needs no reply.
                    drop(sender.send(reply));
                }
            }
            Effect::Send { to, messages } => self.links.send(to, Message::encode(&messages)),
            Effect::Order { id, order } => drop(self.runtime.spawn(Arc::clone(self).send_order(id, order))),
            Effect::Halt { why } => {
                log::error!(why; "shell: this process must end");
                self.halted.send_replace(true);
            }
            Effect::Write(_) => {}
        }
    }

    async fn send_order(self: Arc<Self>, id: OrderId, order: Order) {
        let outcome = self.client.send(&order).await;
        self.step(|host, now| host.on_outcome(now, id, outcome));
    }

    async fn run_timer(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            self.step_or_halt(ControlHost::on_tick);
        }
    }
}

/// Passes an event of the data folder to the control host, if it still runs.
fn on_disk_event<C: TargetClient>(shell: &Weak<Shell<C>>, event: DiskEvent) {
    let Some(shell) = shell.upgrade() else { return };
    match event {
        DiskEvent::Synced(id) => shell.step_or_halt(|host, now| host.on_synced(now, id)),
        DiskEvent::Failed => shell.step_or_halt(ControlHost::on_failed),
        DiskEvent::Reopened { stored, writes } => shell.step_or_halt(|host, now| {
            shell.set_disk(writes);
            host.on_reopened(now, stored);
        }),
    }
}

/// Decodes messages that arrive over the links and passes them to the control host of a shell.
#[derive(Debug)]
pub struct MessageReceiver<C>(pub Weak<Shell<C>>);

impl<C: TargetClient> Inbox for MessageReceiver<C> {
    fn receive(&self, from: HostId, _incarnation: Incarnation, body: &[u8]) {
        match (self.0.upgrade(), Message::decode(body)) {
            (Some(shell), Some(messages)) => shell.receive(from, messages),
            (Some(_), None) => log::warn!(host = from.0, bytes = body.len(); "shell: dropped an unreadable message"),
            (None, _) => {}
        }
    }
}

/// Drop guard that reports a caller as disconnected if it goes away before its reply.
struct DisconnectGuard<'a, C: TargetClient> {
    shell: &'a Arc<Shell<C>>,
    caller: Caller,
}

impl<C: TargetClient> Drop for DisconnectGuard<'_, C> {
    fn drop(&mut self) {
        let unanswered = self.shell.callers.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&self.caller);
        if unanswered.is_some() {
            let caller = self.caller;
            self.shell.step(|host, _| host.on_disconnected(caller));
        }
    }
}
