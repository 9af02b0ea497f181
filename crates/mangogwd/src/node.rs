//! The shell around a host: it hands inputs to the host and carries out its effects.

use crate::clock::Clock;
use crate::pool::{Pool, Word};
use indexmap::IndexMap;
use mangogw_catalogue::Catalogue;
use mangogw_host::{Ask, Caller, Effect, Host, Refused, Reply, Seen, Start};
use mangogw_model::{Code, Time};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Between two ticks of the host.
const TICK: Duration = Duration::from_millis(10);

/// A running host.
#[derive(Debug)]
pub struct Node {
    clock: Clock,
    host: Mutex<Host>,
    callers: Mutex<IndexMap<Caller, oneshot::Sender<Reply>>>,
    pool: Pool,
    serial: AtomicU64,
    ready: AtomicBool,
}

impl Node {
    /// A node that runs `settings`' host from now on. Its timer runs until the returned handle is aborted.
    pub fn spawn(settings: mangogw_host::Settings) -> (Arc<Self>, JoinHandle<()>) {
        let clock = Clock::start();
        let node = Arc::new(Self {
            clock,
            host: Mutex::new(Host::open(settings, clock.now())),
            callers: Mutex::new(IndexMap::new()),
            pool: Pool::default(),
            serial: AtomicU64::new(0),
            ready: AtomicBool::new(false),
        });
        let timer = tokio::spawn(Arc::clone(&node).run_timer());
        (node, timer)
    }

    /// Makes `catalogue` the one in force; the node is ready from then on.
    pub fn install(self: &Arc<Self>, catalogue: &Catalogue) {
        self.step(|host, now| host.install(now, catalogue));
        self.set_ready(true);
    }

    /// True if the node takes traffic.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Says whether the node takes traffic.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Takes no new work; what was taken goes on.
    pub fn drain(self: &Arc<Self>) {
        self.step(Host::on_drain);
    }

    /// True if nothing is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.host.lock().unwrap_or_else(PoisonError::into_inner).is_idle()
    }

    /// Asks the host and waits for its reply.
    pub async fn ask(self: &Arc<Self>, ask: Ask) -> Reply {
        let caller = Caller(self.serial.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.callers.lock().unwrap_or_else(PoisonError::into_inner).insert(caller, sender);
        let gone = Gone { node: self, caller };
        self.step(|host, now| host.on_request(now, caller, ask));
        let reply = receiver.await;
        drop(gone);
        reply.unwrap_or_else(|_dropped| Reply::Refused(Refused::new(Code::Internal, "the host dropped the request")))
    }

    /// Gives the host one input and carries out what it wants done.
    fn step(self: &Arc<Self>, input: impl FnOnce(&mut Host, Time)) {
        let effects = {
            let mut host = self.host.lock().unwrap_or_else(PoisonError::into_inner);
            input(&mut host, self.clock.now());
            host.drain()
        };
        for effect in effects {
            self.perform(effect);
        }
    }

    fn perform(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => self.reply(caller, reply),
            Effect::Start(start) => drop(tokio::spawn(Arc::clone(self).start(start))),
            Effect::Stop { attempt, address } => self.say(address, attempt, Word::Stop),
            Effect::Throttle { attempt, address } => self.say(address, attempt, Word::Throttle),
            Effect::Resume { attempt, address } => self.say(address, attempt, Word::Resume),
            Effect::Checkpoint { attempt, address } => self.say(address, attempt, Word::Checkpoint),
        }
    }

    fn reply(&self, caller: Caller, reply: Reply) {
        let sender = self.callers.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&caller);
        if let Some(sender) = sender {
            // A caller that has gone needs no reply.
            drop(sender.send(reply));
        }
    }

    fn say(self: &Arc<Self>, address: std::net::SocketAddr, attempt: mangogw_model::AttemptId, word: Word) {
        let node = Arc::clone(self);
        drop(tokio::spawn(async move { node.pool.say(address, attempt, word).await }));
    }

    async fn start(self: Arc<Self>, start: Start) {
        let left = start.deadline - self.clock.now();
        let seen: Seen = self.pool.start(&start, left).await;
        self.step(|host, now| host.on_answer(now, start.unit, start.attempt, seen));
    }

    async fn run_timer(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            self.step(Host::on_tick);
        }
    }
}

/// Forgets a caller that went away before its reply.
#[derive(Debug)]
struct Gone<'a> {
    node: &'a Node,
    caller: Caller,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        self.node.callers.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&self.caller);
    }
}
