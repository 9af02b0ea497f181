//! Limits that hold for the whole cluster, used here by this host's share.

use crate::host::Host;
use crate::message::Message;
use mangogw_catalogue::Catalogue;
use mangogw_cluster::Output;
use mangogw_cluster::shares::{Limit, Resource, Scope};
use mangogw_dispatch::{EntryKey, LimitShare};
use mangogw_model::{Entry, EntryName, Time};
use std::time::Duration;

/// Demand is told and shares are taken over so often.
const DEMAND_PERIOD: Duration = Duration::from_millis(250);
/// A host asks for this many times the rate that came in, so that a rising one is not held back.
const DEMAND_HEADROOM: f64 = 1.25;
/// The weight of the newest period in the rate that came in.
const LATEST_WEIGHT: f64 = 0.5;

/// What came in for one entry.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Arrivals {
    pub count: u32,
    rate: f64,
}

impl Arrivals {
    /// Closes a period, and gives the rate a second.
    fn end_period(&mut self, span: Duration) -> f64 {
        let latest = f64::from(std::mem::take(&mut self.count)) / span.as_secs_f64();
        self.rate += (latest - self.rate) * LATEST_WEIGHT;
        self.rate
    }
}

impl Host {
    /// Takes the limits of a new catalogue over.
    pub(crate) fn set_limits(&mut self, catalogue: &Catalogue) {
        let limits = catalogue.entries().iter().flat_map(|(name, entry)| limits_of(name, entry));
        self.shares.set_limits(limits);
    }

    /// Tells the homes of limits what this host wants, and the dispatch core what it may use.
    pub(crate) fn tick_limits(&mut self, now: Time) {
        self.shares.on_tick(now);
        if self.demand_sent.is_some_and(|at| now - at < DEMAND_PERIOD) {
            return;
        }
        let span = self.demand_sent.map_or(DEMAND_PERIOD, |at| now - at);
        self.demand_sent = Some(now);
        let keys: Vec<EntryKey> = self.dispatch.entry_keys().collect();
        for key in keys {
            self.share_entry(now, span, key);
        }
    }

    fn share_entry(&mut self, now: Time, span: Duration, key: EntryKey) {
        let (name, entry) = self.dispatch.entry_config(key);
        let (name, limits) = (name.clone(), limits_of(name, entry));
        if limits.is_empty() {
            return;
        }
        let rate = self.arrivals.entry(name).or_default().end_period(span) * DEMAND_HEADROOM;
        let Some(view) = self.dispatch.entry_view(now, key) else { return };
        let tasks = f64::from(view.running + view.waiting);
        let mut share = LimitShare::WHOLE;
        for (limit, total) in limits {
            let wants = match limit.resource {
                Resource::Rate => rate,
                Resource::Concurrency => tasks,
                Resource::Cores | Resource::Memory | Resource::Accelerators if tasks > 0.0 => total as f64,
                Resource::Cores | Resource::Memory | Resource::Accelerators => 0.0,
            };
            self.shares.set_demand(&limit, wants);
            let part = self.shares.share(now, &limit).map_or(1.0, |held| held / total as f64);
            let place = match limit.resource {
                Resource::Rate => &mut share.rate,
                Resource::Concurrency => &mut share.concurrency,
                Resource::Cores | Resource::Memory | Resource::Accelerators => &mut share.quota,
            };
            *place = place.min(part);
        }
        self.dispatch.set_limit_share(now, key, share);
    }

    /// Carries out what the shares want. True if there was nothing.
    pub(crate) fn process_shares_outputs(&mut self) -> bool {
        let outputs = self.shares.drain();
        let quiet = outputs.is_empty();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, Message::Shares(message)),
                Output::Event(never) => match never {},
            }
        }
        quiet
    }
}

/// The bounds of an entry that all hosts share; 0 is no bound.
fn limits_of(name: &EntryName, entry: &Entry) -> Vec<(Limit, u64)> {
    let bounds = [
        (Resource::Rate, u64::from(entry.limits.rate)),
        (Resource::Concurrency, u64::from(entry.limits.concurrency)),
        (Resource::Cores, u64::from(entry.quota.cores)),
        (Resource::Memory, entry.quota.memory_mb),
        (Resource::Accelerators, u64::from(entry.quota.accelerators)),
    ];
    let limit = |resource| Limit { scope: Scope::Entry(name.clone()), resource };
    bounds.into_iter().filter(|&(_, total)| total > 0).map(|(resource, total)| (limit(resource), total)).collect()
}
