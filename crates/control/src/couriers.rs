//! Who carries the orders of the leader to targets.
//!
//! With few targets the leader does so itself. With many, the exchanges would take more processor time than one host
//! has, so other hosts carry them: the leader sends each a frame of orders, and gets frames of outcomes back. Orders
//! carry fencing token and lease, so a courier decides nothing, and one that is late or gone does no harm.

use crate::Greeting;
use indexmap::IndexMap;
use mangogw_jobs::{Order, What};
use mangogw_model::{HostId, Time, Zone};
use std::time::Duration;

/// A host that has said nothing for so long gets no orders; it greets every 150 ms.
const SILENCE: Duration = Duration::from_millis(500);
/// An order that has no outcome after so long, beside what it was asked to wait, is unsure. A courier itself gives up
/// after 300 ms.
const PATIENCE: Duration = Duration::from_millis(450);

#[derive(Debug)]
struct Courier {
    zone: Zone,
    share: u32,
    heard: Time,
    /// It has said nothing for a while, or hears nothing.
    silent: bool,
    deaf: bool,
}

#[derive(Debug)]
struct Given {
    order: Order,
    asked: Time,
    until: Time,
    courier: Option<HostId>,
}

/// Orders on their way, and the hosts that carry them.
#[derive(Debug)]
pub(crate) struct Couriers {
    number: u64,
    hosts: IndexMap<HostId, Courier>,
    given: IndexMap<u64, Given>,
    /// The courier of each target, as long as the hosts stay the same.
    chosen: IndexMap<String, Option<HostId>>,
    looked: Time,
}

impl Couriers {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            number: seed << 24,
            hosts: IndexMap::new(),
            given: IndexMap::new(),
            chosen: IndexMap::new(),
            looked: Time::ZERO,
        }
    }

    /// A host says that it can carry orders. One that hears nothing of the leader gets none.
    pub(crate) fn greet(&mut self, now: Time, host: HostId, greeting: &Greeting) {
        let (zone, share, deaf) = (greeting.zone.clone(), greeting.share, greeting.lost >= SILENCE);
        let known = self.hosts.insert(host, Courier { zone, share, heard: now, silent: deaf, deaf });
        if known.is_none_or(|known| known.silent != deaf) {
            self.chosen.clear();
        }
    }

    /// A host has said something.
    pub(crate) fn touch(&mut self, now: Time, host: HostId) {
        if let Some(courier) = self.hosts.get_mut(&host) {
            courier.heard = now;
        }
    }

    /// This host was paused, and has heard nobody meanwhile.
    pub(crate) fn forgive(&mut self, now: Time) {
        self.hosts.values_mut().for_each(|courier| courier.heard = now);
    }

    /// Hosts that have said nothing for `silence`, from now on forgotten.
    pub(crate) fn take_lost(&mut self, now: Time, silence: Duration) -> Vec<HostId> {
        let lost = self.hosts.iter().filter(|(_, courier)| now - courier.heard >= silence);
        let lost: Vec<HostId> = lost.map(|(host, _)| *host).collect();
        self.hosts.retain(|host, _| !lost.contains(host));
        lost
    }

    /// Gives an order a number, and a courier if there are `many` targets.
    pub(crate) fn give(&mut self, now: Time, order: &Order, many: bool) -> (u64, Option<HostId>) {
        let courier = if many { self.choose(order) } else { None };
        self.number += 1;
        let wait = match order.what {
            What::Look { wait, .. } => wait,
            _ => Duration::ZERO,
        };
        let given = Given { order: order.clone(), asked: now, until: now + wait + PATIENCE, courier };
        self.given.insert(self.number, given);
        (self.number, courier)
    }

    /// The order with this number and when it was given, if it has no outcome yet.
    pub(crate) fn take(&mut self, number: u64) -> Option<(Order, Time)> {
        self.given.swap_remove(&number).map(|given| (given.order, given.asked))
    }

    /// Orders whose outcome will not come.
    pub(crate) fn on_tick(&mut self, now: Time) -> Vec<u64> {
        if now - self.looked < PATIENCE / 10 {
            return Vec::new();
        }
        self.looked = now;
        for courier in self.hosts.values_mut() {
            let silent = courier.deaf || now - courier.heard >= SILENCE;
            if silent != courier.silent {
                courier.silent = silent;
                self.chosen.clear();
            }
        }
        let gone = |given: &Given| {
            given.courier.is_some_and(|courier| self.hosts.get(&courier).is_none_or(|courier| courier.silent))
        };
        let late = |given: &Given| now >= given.until || gone(given);
        self.given.iter().filter(|(_, given)| late(given)).map(|(number, _)| *number).collect()
    }

    /// The same courier for a target as long as the hosts stay, one of its zone if there is one; hosts with more
    /// processor carry for more targets.
    fn choose(&mut self, order: &Order) -> Option<HostId> {
        if let Some(chosen) = self.chosen.get(&order.id) {
            return *chosen;
        }
        let local = self.hosts.values().any(|courier| !courier.silent && courier.zone == order.zone);
        let fits = |courier: &Courier| !courier.silent && (!local || courier.zone == order.zone);
        let score = |host: HostId, share: u32| {
            // Weighted rendezvous hashing: the least of -ln(u) / weight wins, u uniform in (0, 1).
            let unit = (mix(host.0, &order.id) >> 11) as f64 / (1_u64 << 53) as f64;
            -unit.max(f64::MIN_POSITIVE).ln() / f64::from(share.max(1))
        };
        let best = self
            .hosts
            .iter()
            .filter(|(_, courier)| fits(courier))
            .min_by(|a, b| score(*a.0, a.1.share).total_cmp(&score(*b.0, b.1.share)));
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
