//! The shell around a station: sockets, disk and timers for a host that runs jobs on leased targets.

use crate::clock::Clock;
use crate::disk::{self, Synced};
use crate::links::{Identity, Inbox, Links};
use indexmap::IndexMap;
use mangogw_control::{Call, Caller, ControlHost, Effect, HostMetrics, Message, OrderId, Reply};
use mangogw_jobs::{Order, Outcome};
use mangogw_model::{HostId, Incarnation, Time};
use mangogw_store::{DurableState, Folder, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;

/// Between two ticks of the station.
const TICK: Duration = Duration::from_millis(10);

/// Carries orders out to targets.
pub trait TargetClient: Send + Sync + 'static {
    /// Tells a target something and gives back what came of it.
    fn send(&self, order: &Order) -> impl Future<Output = Outcome> + Send;
}

/// A running station.
#[derive(Debug)]
pub struct Shell<C> {
    clock: Clock,
    host: Mutex<ControlHost>,
    callers: Mutex<IndexMap<Caller, oneshot::Sender<Reply>>>,
    client: C,
    links: Links,
    disk: OnceLock<Sender<Write>>,
    serial: AtomicU64,
    inputs: Notify,
    over: watch::Sender<bool>,
    runtime: Handle,
}

impl<C: TargetClient> Shell<C> {
    /// A shell that runs a station from now on. Its timer runs until the returned handle is aborted.
    ///
    /// # Errors
    /// What the system said when the thread of the data folder was started.
    pub fn spawn(
        mut settings: mangogw_control::Settings,
        cluster: &str,
        folder: Option<(Folder, DurableState)>,
        client: C,
    ) -> std::io::Result<(Arc<Self>, JoinHandle<()>)> {
        let clock = Clock::start();
        settings.jobs.wall_offset = crate::clock::unix_millis();
        let life = Incarnation(settings.seed);
        let identity = Identity { cluster: cluster.to_owned(), host: settings.host, life };
        let (folder, stored) = folder.unzip();
        let shell = Arc::new(Self {
            clock,
            host: Mutex::new(ControlHost::open(settings, stored, clock.now())),
            callers: Mutex::default(),
            client,
            links: Links::new(identity),
            disk: OnceLock::new(),
            serial: AtomicU64::new(0),
            inputs: Notify::new(),
            over: watch::Sender::new(false),
            runtime: Handle::current(),
        });
        if let Some(folder) = folder {
            let weak = Arc::downgrade(&shell);
            let writes = disk::spawn(folder, move |synced| hear(&weak, synced))?;
            // The cell is empty: the shell was made a moment ago.
            _ = shell.disk.set(writes);
        }
        let node = Arc::clone(&shell);
        let timer = tokio::spawn(async move {
            tokio::join!(Arc::clone(&node).run_timer(), node.run_effects());
        });
        Ok((shell, timer))
    }

    /// The links to other hosts.
    pub const fn links(&self) -> &Links {
        &self.links
    }

    /// Turns true when this process must end.
    pub fn over(&self) -> watch::Receiver<bool> {
        self.over.subscribe()
    }

    /// True if the station takes calls.
    pub fn is_ready(&self) -> bool {
        self.host.lock().unwrap_or_else(PoisonError::into_inner).is_ready(self.clock.now())
    }

    /// What the station shows of itself.
    pub fn view(&self) -> HostMetrics {
        self.host.lock().unwrap_or_else(PoisonError::into_inner).metrics(self.clock.now())
    }

    /// Hands the lead over, if this host has it.
    pub fn step_down(self: &Arc<Self>) {
        self.step(ControlHost::on_leaving);
    }

    /// Goes by other seeds from now on.
    pub fn set_seeds(self: &Arc<Self>, seeds: &[std::net::SocketAddr]) {
        self.step(|host, _| host.set_seeds(seeds));
    }

    /// Makes a call and waits for its reply.
    pub async fn call(self: &Arc<Self>, call: Call) -> Reply {
        let caller = Caller(self.serial.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.callers.lock().unwrap_or_else(PoisonError::into_inner).insert(caller, sender);
        let gone = Gone { shell: self, caller };
        self.step(|host, now| host.on_call(now, caller, call));
        let reply = receiver.await;
        drop(gone);
        reply.unwrap_or(Reply::Unclear)
    }

    /// Gives the station one input. What comes of it is done once all inputs that are ready have been given.
    fn step(self: &Arc<Self>, input: impl FnOnce(&mut ControlHost, Time)) {
        let mut host = self.host.lock().unwrap_or_else(PoisonError::into_inner);
        input(&mut host, self.clock.now());
        drop(host);
        self.inputs.notify_one();
    }

    /// Carries out what the station wants done, after each burst of inputs.
    async fn run_effects(self: Arc<Self>) {
        loop {
            self.inputs.notified().await;
            // Lets every task that is ready give its input first.
            tokio::task::yield_now().await;
            for effect in self.drain() {
                self.perform(effect);
            }
        }
    }

    /// Takes the effects out of the station. Writes are queued under the lock, since their order counts.
    fn drain(&self) -> Vec<Effect> {
        let mut host = self.host.lock().unwrap_or_else(PoisonError::into_inner);
        let mut effects = host.drain(self.clock.now());
        effects.retain_mut(|effect| !self.take_write(effect));
        effects
    }

    /// Queues a write for the disk; true if the effect was one.
    fn take_write(&self, effect: &mut Effect) -> bool {
        let Effect::Write(write) = effect else { return false };
        let write = std::mem::replace(write, Write { id: write.id, ops: Vec::new() });
        match self.disk.get() {
            // The thread has ended only if a write failed, and then the station knows.
            Some(disk) => drop(disk.send(write)),
            None => log::error!("shell: a write without a data folder"),
        }
        true
    }

    fn perform(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => {
                let sender = self.callers.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&caller);
                if let Some(sender) = sender {
                    // A caller that has gone needs no reply.
                    drop(sender.send(reply));
                }
            }
            Effect::Send { to, messages } => self.links.send(to, Message::encode(&messages)),
            Effect::Order { id, order } => drop(self.runtime.spawn(Arc::clone(self).send_order(id, order))),
            Effect::Halt { why } => {
                log::error!(why; "shell: this process ends");
                self.over.send_replace(true);
            }
            Effect::Write(_) => {}
        }
    }

    async fn send_order(self: Arc<Self>, id: OrderId, order: Order) {
        let outcome = self.client.send(&order).await;
        self.step(|host, now| host.on_outcome(now, id, outcome));
    }

    async fn run_timer(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            self.step(ControlHost::on_tick);
        }
    }
}

/// Tells the station what became of its writes, if it still runs.
fn hear<C: TargetClient>(shell: &Weak<Shell<C>>, synced: Synced) {
    let Some(shell) = shell.upgrade() else { return };
    match synced {
        Synced::UpTo(id) => shell.step(|host, now| host.on_synced(now, id)),
        Synced::Failed => shell.step(ControlHost::on_failed),
    }
}

/// Hands what comes over the links to a shell.
#[derive(Debug)]
pub struct Door<C>(pub Weak<Shell<C>>);

impl<C: TargetClient> Inbox for Door<C> {
    fn take(&self, from: HostId, _life: Incarnation, body: &[u8]) {
        match (self.0.upgrade(), Message::decode(body)) {
            (Some(shell), Some(messages)) => shell.step(|host, now| {
                for message in messages {
                    host.on_message(now, from, message);
                }
            }),
            (Some(_), None) => log::warn!(host = from.0, bytes = body.len(); "shell: unreadable message dropped"),
            (None, _) => {}
        }
    }
}

/// Forgets a caller that went away before its reply.
struct Gone<'a, C: TargetClient> {
    shell: &'a Arc<Shell<C>>,
    caller: Caller,
}

impl<C: TargetClient> Drop for Gone<'_, C> {
    fn drop(&mut self) {
        let waiting = self.shell.callers.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&self.caller);
        if waiting.is_some() {
            let caller = self.caller;
            self.shell.step(|host, _| host.on_disconnected(caller));
        }
    }
}
