//! The forwarders: hosts that send the leader's orders to targets.
//!
//! With few targets, the leader sends its orders itself. With many, the exchanges would take more processor time than
//! one host has, so other hosts make them: the leader sends each of them frames of orders and receives frames of
//! outcomes. Orders carry their fencing token and lease, so a forwarder decides nothing and does no harm if it is late
//! or lost.

use crate::HostInfo;
use indexmap::IndexMap;
use mangogw_jobs::{ORDER_TIMEOUT, Order, OrderKind};
use mangogw_model::{HostId, Time, Zone};
use std::time::Duration;

/// Time without a message after which a forwarder gets no orders. Each sends a leader query every 150 ms.
const FORWARDER_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Forwarder {
    zone: Zone,
    cpu_millicores: u32,
    last_seen: Time,
    /// True if the host has timed out or has no leader.
    unusable: bool,
    leaderless: bool,
}

#[derive(Debug)]
struct ForwardedOrder {
    order: Order,
    sent: Time,
    deadline: Time,
    forwarder: Option<HostId>,
}

/// Orders without an outcome, and the hosts that can forward orders.
#[derive(Debug)]
pub(crate) struct Forwarders {
    last_number: u64,
    hosts: IndexMap<HostId, Forwarder>,
    pending: IndexMap<u64, ForwardedOrder>,
    /// Forwarder by target id; cleared when the set of usable forwarders changes.
    assigned: IndexMap<String, Option<HostId>>,
    last_check: Time,
}

impl Forwarders {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            last_number: seed << 24,
            hosts: IndexMap::new(),
            pending: IndexMap::new(),
            assigned: IndexMap::new(),
            last_check: Time::ZERO,
        }
    }

    /// Records a host that can forward orders. A host without a leader gets none.
    pub(crate) fn on_host_info(&mut self, now: Time, host: HostId, info: &HostInfo) {
        let (zone, cpu_millicores, leaderless) =
            (info.zone.clone(), info.cpu_millicores, info.leaderless_for >= FORWARDER_TIMEOUT);
        let known = self
            .hosts
            .insert(host, Forwarder { zone, cpu_millicores, last_seen: now, unusable: leaderless, leaderless });
        if known.is_none_or(|known| known.unusable != leaderless) {
            self.assigned.clear();
        }
    }

    /// Records that a message of a host has arrived.
    pub(crate) fn touch(&mut self, now: Time, host: HostId) {
        if let Some(forwarder) = self.hosts.get_mut(&host) {
            forwarder.last_seen = now;
        }
    }

    /// Restarts the timeouts of all forwarders, since this host was paused and received nothing.
    pub(crate) fn reset_timeouts(&mut self, now: Time) {
        self.hosts.values_mut().for_each(|forwarder| forwarder.last_seen = now);
    }

    /// Removes and returns the hosts that have sent nothing for `timeout`.
    pub(crate) fn remove_lost(&mut self, now: Time, timeout: Duration) -> Vec<HostId> {
        let lost = self.hosts.iter().filter(|(_, forwarder)| now - forwarder.last_seen >= timeout);
        let lost: Vec<HostId> = lost.map(|(host, _)| *host).collect();
        self.hosts.retain(|host, _| !lost.contains(host));
        if !lost.is_empty() {
            self.assigned.clear();
        }
        lost
    }

    /// Assigns an order its number and, if `forward` is true, a forwarder; `None` if this host sends the order itself. The
    /// order is unsure if it has no outcome [`ORDER_TIMEOUT`] after the wait that it allows its target.
    pub(crate) fn assign(&mut self, now: Time, order: &Order, forward: bool) -> (u64, Option<HostId>) {
        let forwarder = if forward { self.choose(order) } else { None };
        self.last_number += 1;
        let wait = match order.kind {
            OrderKind::Renew { wait, .. } => wait,
            _ => Duration::ZERO,
        };
        let pending =
            ForwardedOrder { order: order.clone(), sent: now, deadline: now + wait + ORDER_TIMEOUT, forwarder };
        self.pending.insert(self.last_number, pending);
        (self.last_number, forwarder)
    }

    /// Removes an order that has no outcome yet, and returns it with the time at which it was sent.
    pub(crate) fn complete(&mut self, number: u64) -> Option<(Order, Time)> {
        self.pending.swap_remove(&number).map(|pending| (pending.order, pending.sent))
    }

    /// Returns the numbers of orders that have timed out or whose forwarder is lost.
    pub(crate) fn on_tick(&mut self, now: Time) -> Vec<u64> {
        if now - self.last_check < ORDER_TIMEOUT / 10 {
            return Vec::new();
        }
        self.last_check = now;
        for forwarder in self.hosts.values_mut() {
            let unusable = forwarder.leaderless || now - forwarder.last_seen >= FORWARDER_TIMEOUT;
            if unusable != forwarder.unusable {
                forwarder.unusable = unusable;
                self.assigned.clear();
            }
        }
        let unreachable = |pending: &ForwardedOrder| {
            pending
                .forwarder
                .is_some_and(|forwarder| self.hosts.get(&forwarder).is_none_or(|forwarder| forwarder.unusable))
        };
        let late = |pending: &ForwardedOrder| now >= pending.deadline || unreachable(pending);
        self.pending.iter().filter(|(_, pending)| late(pending)).map(|(number, _)| *number).collect()
    }

    /// Chooses a target's forwarder, which stays the same while the set of hosts does. Forwarders in the target's zone
    /// are preferred, and hosts with more processor get more targets.
    fn choose(&mut self, order: &Order) -> Option<HostId> {
        if let Some(assigned) = self.assigned.get(&order.id) {
            return *assigned;
        }
        let local = self.hosts.values().any(|forwarder| !forwarder.unusable && forwarder.zone == order.zone);
        let fits = |forwarder: &Forwarder| !forwarder.unusable && (!local || forwarder.zone == order.zone);
        let score = |host: HostId, cpu_millicores: u32| {
            // Weighted rendezvous hashing: the smallest -ln(u) / weight wins, with u uniform in (0, 1).
            let unit = (hash(host.0, &order.id) >> 11) as f64 / (1_u64 << 53) as f64;
            -unit.max(f64::MIN_POSITIVE).ln() / f64::from(cpu_millicores.max(1))
        };
        let best = self
            .hosts
            .iter()
            .filter(|(_, forwarder)| fits(forwarder))
            .min_by(|a, b| score(*a.0, a.1.cpu_millicores).total_cmp(&score(*b.0, b.1.cpu_millicores)));
        let assigned = best.map(|(host, _)| *host);
        self.assigned.insert(order.id.clone(), assigned);
        assigned
    }
}

/// Hashes a host and a target to a value that is the same on every host: FNV-1a with a finisher.
fn hash(host: u64, target: &str) -> u64 {
    let bytes = host.to_le_bytes();
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = bytes.iter().chain(target.as_bytes()).fold(0xcbf2_9ce4_8422_2325, fold);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
