//! Who carries the orders of the leader to targets.
//!
//! With few targets the leader does so itself. With many, the exchanges would take more processor time than one host
//! has, so other hosts carry them: the leader sends each a frame of orders, and gets frames of outcomes back. Orders
//! carry fencing token and lease, so a courier decides nothing, and one that is late or gone does no harm.

use crate::HostInfo;
use indexmap::IndexMap;
use mangogw_jobs::{Order, OrderKind};
use mangogw_model::{HostId, Time, Zone};
use std::time::Duration;

/// A host that has said nothing for so long gets no orders; it greets every 150 ms.
const SILENCE: Duration = Duration::from_millis(500);
/// An order that has no outcome after so long, beside what it was asked to wait, is unsure. A courier itself gives up
/// after 300 ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(450);

#[derive(Debug)]
struct Forwarder {
    zone: Zone,
    cpu_millicores: u32,
    heard: Time,
    /// It has said nothing for a while, or hears nothing.
    silent: bool,
    deaf: bool,
}

#[derive(Debug)]
struct ForwardedOrder {
    order: Order,
    asked: Time,
    until: Time,
    forwarder: Option<HostId>,
}

/// Orders on their way, and the hosts that carry them.
#[derive(Debug)]
pub(crate) struct Forwarders {
    number: u64,
    hosts: IndexMap<HostId, Forwarder>,
    pending: IndexMap<u64, ForwardedOrder>,
    /// The courier of each target, as long as the hosts stay the same.
    chosen: IndexMap<String, Option<HostId>>,
    looked: Time,
}

impl Forwarders {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            number: seed << 24,
            hosts: IndexMap::new(),
            pending: IndexMap::new(),
            chosen: IndexMap::new(),
            looked: Time::ZERO,
        }
    }

    /// A host says that it can carry orders. One that hears nothing of the leader gets none.
    pub(crate) fn greet(&mut self, now: Time, host: HostId, info: &HostInfo) {
        let (zone, cpu_millicores, deaf) = (info.zone.clone(), info.cpu_millicores, info.leaderless_for >= SILENCE);
        let known = self.hosts.insert(host, Forwarder { zone, cpu_millicores, heard: now, silent: deaf, deaf });
        if known.is_none_or(|known| known.silent != deaf) {
            self.chosen.clear();
        }
    }

    /// A host has said something.
    pub(crate) fn touch(&mut self, now: Time, host: HostId) {
        if let Some(forwarder) = self.hosts.get_mut(&host) {
            forwarder.heard = now;
        }
    }

    /// This host was paused, and has heard nobody meanwhile.
    pub(crate) fn forgive(&mut self, now: Time) {
        self.hosts.values_mut().for_each(|forwarder| forwarder.heard = now);
    }

    /// Hosts that have said nothing for `silence`, from now on forgotten.
    pub(crate) fn take_lost(&mut self, now: Time, silence: Duration) -> Vec<HostId> {
        let lost = self.hosts.iter().filter(|(_, forwarder)| now - forwarder.heard >= silence);
        let lost: Vec<HostId> = lost.map(|(host, _)| *host).collect();
        self.hosts.retain(|host, _| !lost.contains(host));
        lost
    }

    /// Gives an order a number, and a courier if there are `many` targets.
    pub(crate) fn assign(&mut self, now: Time, order: &Order, many: bool) -> (u64, Option<HostId>) {
        let forwarder = if many { self.choose(order) } else { None };
        self.number += 1;
        let wait = match order.kind {
            OrderKind::Renew { wait, .. } => wait,
            _ => Duration::ZERO,
        };
        let pending = ForwardedOrder { order: order.clone(), asked: now, until: now + wait + ORDER_TIMEOUT, forwarder };
        self.pending.insert(self.number, pending);
        (self.number, forwarder)
    }

    /// The order with this number and when it was given, if it has no outcome yet.
    pub(crate) fn take(&mut self, number: u64) -> Option<(Order, Time)> {
        self.pending.swap_remove(&number).map(|pending| (pending.order, pending.asked))
    }

    /// Orders whose outcome will not come.
    pub(crate) fn on_tick(&mut self, now: Time) -> Vec<u64> {
        if now - self.looked < ORDER_TIMEOUT / 10 {
            return Vec::new();
        }
        self.looked = now;
        for forwarder in self.hosts.values_mut() {
            let silent = forwarder.deaf || now - forwarder.heard >= SILENCE;
            if silent != forwarder.silent {
                forwarder.silent = silent;
                self.chosen.clear();
            }
        }
        let gone = |pending: &ForwardedOrder| {
            pending
                .forwarder
                .is_some_and(|forwarder| self.hosts.get(&forwarder).is_none_or(|forwarder| forwarder.silent))
        };
        let late = |pending: &ForwardedOrder| now >= pending.until || gone(pending);
        self.pending.iter().filter(|(_, pending)| late(pending)).map(|(number, _)| *number).collect()
    }

    /// The same courier for a target as long as the hosts stay, one of its zone if there is one; hosts with more
    /// processor carry for more targets.
    fn choose(&mut self, order: &Order) -> Option<HostId> {
        if let Some(chosen) = self.chosen.get(&order.id) {
            return *chosen;
        }
        let local = self.hosts.values().any(|forwarder| !forwarder.silent && forwarder.zone == order.zone);
        let fits = |forwarder: &Forwarder| !forwarder.silent && (!local || forwarder.zone == order.zone);
        let score = |host: HostId, cpu_millicores: u32| {
            // Weighted rendezvous hashing: the least of -ln(u) / weight wins, u uniform in (0, 1).
            let unit = (mix(host.0, &order.id) >> 11) as f64 / (1_u64 << 53) as f64;
            -unit.max(f64::MIN_POSITIVE).ln() / f64::from(cpu_millicores.max(1))
        };
        let best = self
            .hosts
            .iter()
            .filter(|(_, forwarder)| fits(forwarder))
            .min_by(|a, b| score(*a.0, a.1.cpu_millicores).total_cmp(&score(*b.0, b.1.cpu_millicores)));
        let chosen = best.map(|(host, _)| *host);
        self.chosen.insert(order.id.clone(), chosen);
        chosen
    }
}

/// A hash of a host and a target that is the same on every host: FNV-1a with a finisher.
fn mix(host: u64, target: &str) -> u64 {
    let bytes = host.to_le_bytes();
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = bytes.iter().chain(target.as_bytes()).fold(0xcbf2_9ce4_8422_2325, fold);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
