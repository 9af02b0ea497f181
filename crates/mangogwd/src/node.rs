//! Runs a [`Host`] on real links, a disk, a timer and connections to targets: passes inputs to the host and performs
//! its effects.

use crate::clock::Clock;
use crate::disk::{self, DiskEvent, OpenedFolder};
use crate::links::{Identity, Inbox, Links};
use crate::pool::{AttemptCommand, Pool};
use indexmap::IndexMap;
use mangogw_host::{AttemptOutcome, Caller, Effect, Host, HostRequest, Message, Refused, Reply, TaskStart};
use mangogw_model::{AttemptId, Code, HostId, Incarnation, Time};
use mangogw_store::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

/// Time between two ticks of the host.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Running host.
#[derive(Debug)]
pub struct Node {
    clock: Clock,
    host: Mutex<Host>,
    callers: Mutex<IndexMap<Caller, oneshot::Sender<Reply>>>,
    pool: Pool,
    links: Links,
    /// Queue of the writes; `None` without a data folder. Locked after `host`.
    disk: Mutex<Option<Sender<Write>>>,
    serial: AtomicU64,
    closing: AtomicBool,
    halted: watch::Sender<bool>,
    runtime: Handle,
}

impl Node {
    /// Starts a host and returns its node. The timer runs until the returned handle is aborted.
    ///
    /// # Errors
    /// Error of the operating system if the thread of the data folder can't be started.
    pub fn spawn(
        mut settings: mangogw_host::Settings,
        opened: Option<OpenedFolder>,
        cluster: &str,
        bootstrap_actions: Vec<mangogw_catalogue::Action>,
    ) -> std::io::Result<(Arc<Self>, JoinHandle<()>)> {
        let clock = Clock::start();
        settings.wall_offset = crate::clock::unix_millis();
        let identity = Identity { cluster: cluster.to_owned(), host: settings.host, incarnation: settings.incarnation };
        let (stored, folder) = opened.map_or((None, None), |opened| (Some(opened.stored), opened.folder));
        let mut host = Host::open(settings, stored, clock.now());
        host.set_bootstrap_actions(bootstrap_actions);
        let node = Arc::new(Self {
            clock,
            host: Mutex::new(host),
            callers: Mutex::new(IndexMap::new()),
            pool: Pool::default(),
            links: Links::new(identity),
            disk: Mutex::default(),
            serial: AtomicU64::new(0),
            closing: AtomicBool::new(false),
            halted: watch::Sender::new(false),
            runtime: Handle::current(),
        });
        if let Some(folder) = folder {
            let weak = Arc::downgrade(&node);
            let writes = disk::spawn(folder, move |event| on_disk_event(&weak, event))?;
            node.set_disk(writes);
        }
        let timer = tokio::spawn(Arc::clone(&node).run_timer());
        Ok((node, timer))
    }

    /// Returns true if the node takes traffic and no stop has been announced.
    pub fn is_ready(&self) -> bool {
        !self.is_closing() && self.with_host(|host, _| host.is_ready())
    }

    /// Returns true once a stop has been announced by [`set_closing`](Self::set_closing).
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Announces a stop: the node reports that it is not ready, but still takes traffic.
    pub fn set_closing(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Makes the host refuse new work; work that it has accepted goes on.
    pub fn drain(self: &Arc<Self>) {
        self.step(Host::on_drain);
    }

    /// Notifies the other hosts that this one stops.
    pub fn exit(self: &Arc<Self>) {
        self.step(Host::on_exit);
    }

    /// Returns true if no work is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.with_host(Host::is_idle)
    }

    /// Calls `read` with the host and the current time, under the lock, and returns its result.
    pub fn with_host<T>(&self, read: impl FnOnce(&Host, Time) -> T) -> T {
        let host = self.host.lock().unwrap_or_else(PoisonError::into_inner);
        read(&host, self.clock.now())
    }

    /// Returns the links to other hosts.
    pub const fn links(&self) -> &Links {
        &self.links
    }

    /// Returns a watch that turns true when this process must end because a later incarnation of its host exists.
    pub fn halted(&self) -> watch::Receiver<bool> {
        self.halted.subscribe()
    }

    /// Makes a request to the host and waits for its reply. Dropping the future tells the host that the caller has
    /// disconnected.
    pub async fn request(self: &Arc<Self>, request: HostRequest) -> Reply {
        let caller = Caller(self.serial.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.callers.lock().unwrap_or_else(PoisonError::into_inner).insert(caller, sender);
        let guard = DisconnectGuard { node: self, caller };
        self.step(|host, now| host.on_request(now, caller, request));
        let reply = receiver.await;
        drop(guard);
        reply.unwrap_or_else(|_dropped| Reply::Refused(Refused::new(Code::Internal, "the host dropped the request")))
    }

    /// Passes one input to the host and performs the resulting effects. Writes are queued under the lock, which keeps
    /// their order.
    fn step(self: &Arc<Self>, input: impl FnOnce(&mut Host, Time)) {
        let effects = {
            let mut host = self.host.lock().unwrap_or_else(PoisonError::into_inner);
            let now = self.clock.now();
            input(&mut host, now);
            self.take_effects(&mut host, now)
        };
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Takes the effects out of the host. Writes are queued for the disk; without a data folder they count as durable
    /// at once.
    fn take_effects(&self, host: &mut Host, now: Time) -> Vec<Effect> {
        let disk = self.disk.lock().unwrap_or_else(PoisonError::into_inner);
        let mut effects = Vec::new();
        loop {
            let drained = host.drain();
            if drained.is_empty() {
                return effects;
            }
            for effect in drained {
                match (effect, &*disk) {
                    // The queue is closed only after a failed write, which has been reported to the host.
                    (Effect::Write(write), Some(disk)) => drop(disk.send(write)),
                    (Effect::Write(write), None) => host.on_synced(now, write.id),
                    (effect, _) => effects.push(effect),
                }
            }
        }
    }

    fn set_disk(&self, writes: Sender<Write>) {
        *self.disk.lock().unwrap_or_else(PoisonError::into_inner) = Some(writes);
    }

    fn perform(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => self.reply(caller, reply),
            Effect::Start(start) => drop(self.runtime.spawn(Arc::clone(self).start(start))),
            Effect::Stop { attempt, address } => self.send_command(address, attempt, AttemptCommand::Stop),
            Effect::Throttle { attempt, address } => self.send_command(address, attempt, AttemptCommand::Throttle),
            Effect::Resume { attempt, address } => self.send_command(address, attempt, AttemptCommand::Resume),
            Effect::Checkpoint { attempt, address } => self.send_command(address, attempt, AttemptCommand::Checkpoint),
            Effect::Send { to, message } => self.links.send(to, message.encode()),
            Effect::Reconnect { to } => self.links.reconnect(to),
            Effect::Halt { reason } => {
                log::error!(why = reason; "node: this process must end");
                self.halted.send_replace(true);
            }
            Effect::Write(_) => {}
        }
    }

    fn reply(&self, caller: Caller, reply: Reply) {
        let sender = self.callers.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&caller);
        if let Some(sender) = sender {
            // A caller that has disconnected needs no reply.
            drop(sender.send(reply));
        }
    }

    fn send_command(self: &Arc<Self>, address: SocketAddr, attempt: AttemptId, command: AttemptCommand) {
        let node = Arc::clone(self);
        drop(self.runtime.spawn(async move {
            let report = node.pool.send_command(address, attempt, command).await;
            if let Some(report) = report {
                node.step(|host, now| host.on_command_result(now, attempt, report));
            }
        }));
    }

    async fn start(self: Arc<Self>, start: TaskStart) {
        let left = start.deadline - self.clock.now();
        let outcome: AttemptOutcome = self.pool.start(&start, left).await;
        self.step(|host, now| host.on_attempt_outcome(now, start.task_key, start.attempt, outcome));
    }

    async fn run_timer(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            self.step(Host::on_tick);
        }
    }
}

/// Passes an event of the data folder to the host, if it still runs.
fn on_disk_event(node: &Weak<Node>, event: DiskEvent) {
    let Some(node) = node.upgrade() else { return };
    match event {
        DiskEvent::Synced(id) => node.step(|host, now| host.on_synced(now, id)),
        DiskEvent::Failed => node.step(Host::on_write_failed),
        DiskEvent::Reopened { stored, writes } => node.step(|host, now| {
            node.set_disk(writes);
            host.on_reopened(now, stored);
        }),
    }
}

/// Decodes messages that arrive over the links and passes them to the host of a node.
#[derive(Debug)]
pub struct MessageReceiver(pub Weak<Node>);

impl Inbox for MessageReceiver {
    fn receive(&self, from: HostId, _incarnation: Incarnation, body: &[u8]) {
        match (self.0.upgrade(), Message::decode(body)) {
            (Some(node), Some(message)) => node.step(|host, now| host.on_message(now, from, message)),
            (Some(_), None) => log::warn!(host = from.0, bytes = body.len(); "node: dropped an unreadable message"),
            (None, _) => {}
        }
    }
}

/// Drop guard that reports a caller as disconnected if it goes away before its reply.
#[derive(Debug)]
struct DisconnectGuard<'a> {
    node: &'a Node,
    caller: Caller,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        let unanswered = self.node.callers.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&self.caller);
        if unanswered.is_some() {
            self.node.host.lock().unwrap_or_else(PoisonError::into_inner).on_disconnected(self.caller);
        }
    }
}
