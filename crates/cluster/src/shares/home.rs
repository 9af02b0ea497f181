//! Home of a limit: leases parts of the limit to hosts, never more than its pool.

use super::split::{split, split_units};
use super::{CLOCK_MARGIN, LEASE_DURATION, SHORT_REPORT_INTERVAL, THOUSANDTHS_PER_UNIT};
use indexmap::IndexMap;
use mangogw_model::{HostId, Time};
use smallvec::SmallVec;

/// Demand of one host, and the leases that it may still hold.
#[derive(Debug, Default)]
struct LeaseClient {
    demand: u64,
    part: u64,
    last_report: Time,
    leases: SmallVec<[Lease; 2]>,
}

/// A leased part of a limit.
#[derive(Debug, Clone, Copy)]
struct Lease {
    sent: u64,
    amount: u64,
    until: Time,
}

/// State of one limit at its home.
#[derive(Debug)]
pub(super) struct Home {
    clients: IndexMap<HostId, LeaseClient>,
    /// Time of the last report.
    pub last_report: Time,
    /// Time of the last recall.
    last_recall: Time,
}

impl Home {
    pub(super) fn new(now: Time) -> Self {
        Self { clients: IndexMap::new(), last_report: now, last_recall: Time::ZERO }
    }

    /// Leases a part of `pool` to `host`. The lease that `host` holds answered its report of `request.held_sent`; older
    /// leases no longer count.
    pub(super) fn lease(&mut self, now: Time, host: HostId, request: LeaseRequest, pool: Pool) -> u64 {
        self.last_report = now;
        let client = self.clients.entry(host).or_default();
        client.demand = request.demand;
        client.last_report = now;
        client.leases.retain(|lease| lease.sent >= request.held_sent);
        for client in self.clients.values_mut() {
            client.leases.retain(|lease| lease.until > now);
        }
        self.clients.retain(|_, client| now - client.last_report < LEASE_DURATION || !client.leases.is_empty());
        let taken: u64 =
            self.clients.iter().filter(|&(&other, _)| other != host).map(|(_, client)| client.held()).sum();
        let demand: Vec<u64> = self.clients.values().map(|client| client.demand).collect();
        let Pool { amount: pool, members, integral } = pool;
        let parts = if integral {
            split_units(pool, &demand, members, THOUSANDTHS_PER_UNIT)
        } else {
            split(pool, &demand, members)
        };
        for (client, &part) in self.clients.values_mut().zip(&parts) {
            client.part = part;
        }
        let at = self.clients.get_index_of(&host).unwrap_or_default();
        let free = pool.saturating_sub(taken);
        let amount = parts.get(at).copied().unwrap_or_default().min(free);
        let amount = if integral { amount / THOUSANDTHS_PER_UNIT * THOUSANDTHS_PER_UNIT } else { amount };
        if let Some(client) = self.clients.get_mut(&host) {
            client.leases.push(Lease { sent: request.sent, amount, until: now + LEASE_DURATION + CLOCK_MARGIN });
        }
        amount
    }

    /// Returns the hosts that hold more than their part, if `host` got less than its part and the last recall was long
    /// enough ago.
    pub(super) fn recall(&mut self, now: Time, host: HostId) -> Vec<HostId> {
        let short = self.clients.get(&host).is_some_and(|client| client.held() < client.part);
        if !short || now - self.last_recall < SHORT_REPORT_INTERVAL {
            return Vec::new();
        }
        self.last_recall = now;
        let excess = self.clients.iter().filter(|&(&other, client)| other != host && client.held() > client.part);
        excess.map(|(&other, _)| other).collect()
    }
}

/// Amount that a home may lease.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pool {
    pub amount: u64,
    pub members: usize,
    pub integral: bool,
}

/// Request for a lease, from one row of a report.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaseRequest {
    pub sent: u64,
    pub held_sent: u64,
    pub demand: u64,
}

impl LeaseClient {
    /// Returns the largest amount that the host may hold.
    fn held(&self) -> u64 {
        self.leases.iter().map(|lease| lease.amount).max().unwrap_or_default()
    }
}
