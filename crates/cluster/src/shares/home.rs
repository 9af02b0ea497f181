//! The home of a limit: leases parts of it to hosts, never more than all of it.

use super::split::{split, split_units};
use super::{CLOCK_MARGIN, LEASE_DURATION, SHORT_REPORT_INTERVAL, UNIT};
use indexmap::IndexMap;
use mangogw_model::{HostId, Time};
use smallvec::SmallVec;

/// What one host wants and what it may still hold.
#[derive(Debug, Default)]
struct Client {
    wants: u64,
    part: u64,
    heard: Time,
    leases: SmallVec<[Leased; 2]>,
}

/// A part that was leased.
#[derive(Debug, Clone, Copy)]
struct Leased {
    sent: u64,
    amount: u64,
    until: Time,
}

/// One limit at its home.
#[derive(Debug)]
pub(super) struct Home {
    clients: IndexMap<HostId, Client>,
    /// The last report.
    pub heard: Time,
    /// Hosts were last asked to report before.
    recalled: Time,
}

impl Home {
    pub(super) fn new(now: Time) -> Self {
        Self { clients: IndexMap::new(), heard: now, recalled: Time::ZERO }
    }

    /// Leases a part of `pool` to `host`, which wants `ask.wants` and holds the answer to its report `ask.held`.
    pub(super) fn lease(&mut self, now: Time, host: HostId, ask: Ask, pool: Pool) -> u64 {
        self.heard = now;
        let client = self.clients.entry(host).or_default();
        client.wants = ask.wants;
        client.heard = now;
        client.leases.retain(|lease| lease.sent >= ask.held);
        for client in self.clients.values_mut() {
            client.leases.retain(|lease| lease.until > now);
        }
        self.clients.retain(|_, client| now - client.heard < LEASE_DURATION || !client.leases.is_empty());
        let taken: u64 =
            self.clients.iter().filter(|&(&other, _)| other != host).map(|(_, client)| client.held()).sum();
        let wants: Vec<u64> = self.clients.values().map(|client| client.wants).collect();
        let Pool { amount: pool, members, whole } = pool;
        let parts = if whole { split_units(pool, &wants, members, UNIT) } else { split(pool, &wants, members) };
        for (client, &part) in self.clients.values_mut().zip(&parts) {
            client.part = part;
        }
        let at = self.clients.get_index_of(&host).unwrap_or_default();
        let free = pool.saturating_sub(taken);
        let amount = parts.get(at).copied().unwrap_or_default().min(free);
        let amount = if whole { amount / UNIT * UNIT } else { amount };
        if let Some(client) = self.clients.get_mut(&host) {
            client.leases.push(Leased { sent: ask.sent, amount, until: now + LEASE_DURATION + CLOCK_MARGIN });
        }
        amount
    }

    /// The hosts that hold more than their part, if `host` got less than its own and they were not asked lately.
    pub(super) fn recall(&mut self, now: Time, host: HostId) -> Vec<HostId> {
        let short = self.clients.get(&host).is_some_and(|client| client.held() < client.part);
        if !short || now - self.recalled < SHORT_REPORT_INTERVAL {
            return Vec::new();
        }
        self.recalled = now;
        let over = self.clients.iter().filter(|&(&other, client)| other != host && client.held() > client.part);
        over.map(|(&other, _)| other).collect()
    }
}

/// What a home may lease.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pool {
    pub amount: u64,
    pub members: usize,
    pub whole: bool,
}

/// One row of a report.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ask {
    pub sent: u64,
    pub held: u64,
    pub wants: u64,
}

impl Client {
    /// The most that the host may hold.
    fn held(&self) -> u64 {
        self.leases.iter().map(|lease| lease.amount).max().unwrap_or_default()
    }
}
