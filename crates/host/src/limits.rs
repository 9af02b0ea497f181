//! Cluster-wide limits: reports this host's demand and applies its share of each limit to the dispatch core.

use crate::host::Host;
use crate::message::Message;
use mangogw_catalogue::Catalogue;
use mangogw_cluster::Output;
use mangogw_cluster::shares::{Limit, Resource, Scope};
use mangogw_dispatch::{EntryKey, LimitShare};
use mangogw_model::{Entry, EntryName, Time};
use std::time::Duration;

/// Interval at which demand is reported and shares are applied.
const DEMAND_PERIOD: Duration = Duration::from_millis(250);
/// Factor by which the requested rate exceeds the arrival rate, so that a rising rate is not held back.
const DEMAND_HEADROOM: f64 = 1.25;
/// Weight of the latest period in the moving average of the arrival rate.
const LATEST_WEIGHT: f64 = 0.5;

/// Arrivals of tasks for one entry.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Arrivals {
    pub count: u32,
    rate: f64,
}

impl Arrivals {
    /// Ends a period and returns the averaged rate, in tasks per second.
    fn end_period(&mut self, span: Duration) -> f64 {
        let latest = f64::from(std::mem::take(&mut self.count)) / span.as_secs_f64();
        self.rate += (latest - self.rate) * LATEST_WEIGHT;
        self.rate
    }
}

impl Host {
    /// Sets the limits of a new catalogue.
    pub(crate) fn set_limits(&mut self, catalogue: &Catalogue) {
        let limits = catalogue.entries().iter().flat_map(|(name, entry)| limits_of(name, entry));
        self.shares.set_limits(limits);
    }

    /// Reports this host's demand to the home hosts of the limits, and its shares to the dispatch core.
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
            let demand = match limit.resource {
                Resource::Rate => rate,
                Resource::Concurrency => tasks,
                Resource::Cores | Resource::Memory | Resource::Accelerators if tasks > 0.0 => total as f64,
                Resource::Cores | Resource::Memory | Resource::Accelerators => 0.0,
            };
            self.shares.set_demand(&limit, demand);
            let fraction = self.shares.share(now, &limit).map_or(1.0, |amount| amount / total as f64);
            let field = match limit.resource {
                Resource::Rate => &mut share.rate,
                Resource::Concurrency => &mut share.concurrency,
                Resource::Cores | Resource::Memory | Resource::Accelerators => &mut share.quota,
            };
            *field = field.min(fraction);
        }
        self.dispatch.set_limit_share(now, key, share);
    }

    /// Processes the outputs of the shares. Returns true if there were none.
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

/// Returns the limits of an entry that all hosts share; a value of 0 means no limit.
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
