//! Shares: limits of teams and entries, split between hosts.
//!
//! A part of each limit is fixed: [`FIXED_FRACTION`] of it, in equal parts for all members. The rest is leased: each
//! limit has a home, the usable member with the highest rank; hosts report their demand, and the home leases parts that
//! never add up to more than the rest. An isolated host keeps its last lease until it ends, then only the fixed part.
//! If the cluster is partitioned, each partition has its own home, which leases the fraction of the rest that its
//! partition has of the members. A home that is new, or whose partition grew, waits for one lease duration before it
//! leases what it gained. `docs/design/shares.md` has the bounds on excess use.

mod home;
mod message;
mod split;

pub use message::{Limit, LimitId, Message, ReportRow, Resource, Scope};
pub use split::{split, split_units};

use crate::{MemberInfo, Output, hash};
use home::{Home, LeaseRequest, Pool};
use indexmap::IndexMap;
use mangogw_model::{HostId, Time};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;

/// Duration of a lease, from the time when the report it answers was sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(5);
/// Time for which a home counts a lease beyond its end, because clock rates may differ by 1 in 1000.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(20);
/// Interval at which limits in use are reported.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest interval at which a limit is reported whose demand exceeds the share.
pub const SHORT_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum rows reported in [`SHORT_REPORT_INTERVAL`]; the longest due are reported first.
pub const MAX_ROWS: usize = 64;
/// Fraction of a limit that is fixed.
pub const FIXED_FRACTION: f64 = 0.25;
/// Time without reports after which a home drops the state of a limit.
const HOME_RETENTION: Duration = Duration::from_secs(30);
/// Amounts are counted in thousandths.
const THOUSANDTHS_PER_UNIT: u64 = 1_000;

/// Settings of the shares of one host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this host.
    pub id: HostId,
    /// True if the host never has peers; it then has all of each limit.
    pub single_host: bool,
}

/// State of a limit on this host.
#[derive(Debug)]
struct LocalLimit {
    total: u64,
    integral: bool,
    demand: u64,
    held: u64,
    until: Time,
    /// The home that sent the lease in force, and the time of the report it answers.
    last_lease: Option<(HostId, u64)>,
    reported: Time,
    /// Minimum time until the next report.
    report_delay: Duration,
}

/// Usable members from a point in time on.
#[derive(Debug)]
struct MemberView {
    at: Time,
    usable: Vec<HostId>,
    part: f64,
}

/// Shares of one host, and the limits whose home it is.
///
/// ```
/// use mangogw_cluster::shares::{Limit, Resource, Scope, Settings, Shares};
/// use mangogw_model::{HostId, Time};
///
/// let mut shares = Shares::open(&Settings { id: HostId(1), single_host: true }, Time::ZERO);
/// let limit = Limit { scope: Scope::Owner("tally".into()), resource: Resource::Rate };
/// shares.set_limits([(limit.clone(), 500)]);
/// assert_eq!(shares.share(Time::ZERO, &limit), Some(500.0));
/// ```
#[derive(Debug)]
pub struct Shares {
    id: HostId,
    single_host: bool,
    members: usize,
    views: VecDeque<MemberView>,
    limits: IndexMap<LimitId, LocalLimit>,
    homes: IndexMap<LimitId, Home>,
    open_reports: IndexMap<(HostId, u64), Vec<LimitId>>,
    next_report: Time,
    out: Vec<Output<Message, Infallible>>,
}

impl Limit {
    /// Returns the id of the limit in messages.
    pub fn id(&self) -> LimitId {
        let (kind, name) = match &self.scope {
            Scope::Owner(owner) => (1, owner.as_str()),
            Scope::Entry(entry) => (2, entry.as_str()),
        };
        LimitId(hash::mix(hash::hash_str(name) ^ (kind * 16 + self.resource as u64)) >> 16)
    }
}

impl Shares {
    /// Creates the shares of a host without limits and peers.
    pub fn open(settings: &Settings, now: Time) -> Self {
        Self {
            id: settings.id,
            single_host: settings.single_host,
            members: 1,
            views: VecDeque::from([MemberView { at: now, usable: Vec::new(), part: 0.0 }]),
            limits: IndexMap::new(),
            homes: IndexMap::new(),
            open_reports: IndexMap::new(),
            next_report: now,
            out: Vec::new(),
        }
    }

    /// Updates the members; this host must be among them.
    pub fn set_hosts(&mut self, now: Time, members: &[MemberInfo]) {
        self.members = members.len().max(1);
        let usable: Vec<HostId> = members.iter().filter(|member| member.usable).map(|member| member.id).collect();
        let part = usable.len() as f64 / self.members as f64;
        let same = |view: &MemberView| view.usable == usable && (view.part - part).abs() < 1e-9;
        if self.views.back().is_some_and(same) {
            return;
        }
        self.views.push_back(MemberView { at: now, usable, part });
        let lost: Vec<LimitId> = self.homes.keys().filter(|&&id| self.home(id) != Some(self.id)).copied().collect();
        for id in lost {
            self.homes.swap_remove(&id);
        }
    }

    /// Sets the limits and their totals, 0 for no bound; limits not named are removed.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (Limit, u64)>) {
        let mut old = std::mem::take(&mut self.limits);
        for (limit, total) in limits {
            let (id, integral, total) = (limit.id(), limit.resource.is_integral(), total * THOUSANDTHS_PER_UNIT);
            let new = LocalLimit {
                total,
                integral,
                demand: 0,
                held: 0,
                until: Time::ZERO,
                last_lease: None,
                reported: Time::ZERO,
                report_delay: SHORT_REPORT_INTERVAL,
            };
            let local =
                old.swap_remove(&id).map_or(new, |local| LocalLimit { total, held: local.held.min(total), ..local });
            self.limits.insert(id, local);
        }
    }

    /// Sets the amount of a limit that this host could use now; 0 when it is no longer used.
    pub fn set_demand(&mut self, limit: &Limit, demand: f64) {
        if let Some(local) = self.limits.get_mut(&limit.id()) {
            let demand = (demand * THOUSANDTHS_PER_UNIT as f64) as u64;
            // A host whose demand rose by more than a quarter reports soon; one whose demand stays unmet backs off.
            local.report_delay =
                if demand > local.demand + local.demand / 4 { SHORT_REPORT_INTERVAL } else { local.report_delay };
            local.demand = demand;
        }
    }

    /// Returns the amount of a limit that this host may use now; `None` if it is not bounded.
    pub fn share(&self, now: Time, limit: &Limit) -> Option<f64> {
        let local = self.limits.get(&limit.id()).filter(|local| local.total > 0)?;
        let leased = if now < local.until { local.held } else { 0 };
        let all = if self.single_host { local.total } else { self.fixed_part(local) + leased };
        Some(all as f64 / THOUSANDTHS_PER_UNIT as f64)
    }

    /// Returns the outputs since the last call.
    pub fn drain(&mut self) -> Vec<Output<Message, Infallible>> {
        std::mem::take(&mut self.out)
    }

    /// Sends the reports that are due and drops expired state. Call it periodically.
    pub fn on_tick(&mut self, now: Time) {
        while self.views.get(1).is_some_and(|view| now - view.at >= LEASE_DURATION + CLOCK_MARGIN) {
            self.views.pop_front();
        }
        self.homes.retain(|_, home| now - home.last_report < HOME_RETENTION);
        self.open_reports.retain(|&(_, sent), _| now - Time::from_millis(sent) < LEASE_DURATION);
        if now < self.next_report || self.single_host {
            return;
        }
        self.next_report = now + SHORT_REPORT_INTERVAL;
        self.report_all(now);
    }

    /// Reports the limits that are due to their homes.
    fn report_all(&mut self, now: Time) {
        let sent_ms = now.as_micros() / 1_000;
        let mut due: Vec<(Time, LimitId)> = self
            .limits
            .iter()
            .filter(|(_, local)| self.is_due(now, local))
            .map(|(&id, local)| (local.reported, id))
            .collect();
        due.sort_unstable();
        due.truncate(MAX_ROWS);
        let mut reports: IndexMap<HostId, Vec<ReportRow>> = IndexMap::new();
        for (_, id) in due {
            let (Some(local), Some(home)) = (self.limits.get(&id), self.home(id)) else { continue };
            let held =
                local.last_lease.filter(|&(from, _)| from == home).map_or(sent_ms, |(_, report_sent)| report_sent);
            let demand = local.demand.saturating_sub(self.fixed_part(local));
            reports.entry(home).or_default().push(ReportRow { id, demand, age_ms: (sent_ms - held) as u32 });
        }
        for (home, rows) in reports {
            let ids: Vec<LimitId> = rows.iter().map(|row| row.id).collect();
            for id in &ids {
                let local = &mut self.limits[id];
                local.reported = now;
                local.report_delay = (local.report_delay * 2).min(REPORT_INTERVAL);
            }
            self.open_reports.insert((home, sent_ms), ids);
            if home == self.id {
                let amounts = self.lease_rows(now, home, sent_ms, &rows);
                self.on_lease(now, home, sent_ms, &amounts);
            } else {
                self.out.push(Output::Send { to: home, message: Message::Report { sent_ms, rows } });
            }
        }
    }

    /// Returns true if a limit should be reported now.
    fn is_due(&self, now: Time, local: &LocalLimit) -> bool {
        let held = if now < local.until { local.held } else { 0 };
        let short = local.demand > self.fixed_part(local) + held;
        let pause = if short { local.report_delay } else { REPORT_INTERVAL };
        let used = local.total > 0 && (local.demand > 0 || now < local.until);
        used && now - local.reported >= pause
    }

    /// Handles a message of another host.
    pub fn on_message(&mut self, now: Time, from: HostId, message: Message) {
        match message {
            Message::Report { sent_ms, rows } => {
                let amounts = self.lease_rows(now, from, sent_ms, &rows);
                self.out.push(Output::Send { to: from, message: Message::Lease { sent_ms, amounts } });
            }
            Message::Lease { sent_ms, amounts } => self.on_lease(now, from, sent_ms, &amounts),
            Message::Recall(id) => self.report_now(id),
        }
    }

    /// Leases parts of limits whose home this host is; `None` for other limits.
    fn lease_rows(&mut self, now: Time, host: HostId, sent: u64, rows: &[ReportRow]) -> Vec<Option<u64>> {
        let request = |row: &ReportRow| LeaseRequest {
            sent,
            held_sent: sent.saturating_sub(u64::from(row.age_ms)),
            demand: row.demand,
        };
        rows.iter().map(|row| self.lease_row(now, host, row, request(row))).collect()
    }

    fn lease_row(&mut self, now: Time, host: HostId, row: &ReportRow, request: LeaseRequest) -> Option<u64> {
        let local = self.limits.get(&row.id).filter(|_| self.home(row.id) == Some(self.id))?;
        let rest = local.total.saturating_sub(self.fixed_part(local) * self.members as u64);
        let integral = local.integral;
        let pool = (rest as f64 * self.leasable_part(row.id)) as u64;
        // A host without a lease reports age 0; earlier leases may still be in flight to it, so all of them count.
        let request = LeaseRequest { held_sent: if row.age_ms == 0 { 0 } else { request.held_sent }, ..request };
        let pool = Pool { amount: pool, members: self.members, integral };
        let home = self.homes.entry(row.id).or_insert_with(|| Home::new(now));
        let amount = home.lease(now, host, request, pool);
        for to in home.recall(now, host) {
            if to == self.id {
                self.report_now(row.id);
            } else {
                self.out.push(Output::Send { to, message: Message::Recall(row.id) });
            }
        }
        Some(amount)
    }

    /// Makes a limit due for the next reports.
    fn report_now(&mut self, id: LimitId) {
        if let Some(local) = self.limits.get_mut(&id) {
            local.reported = Time::ZERO;
        }
    }

    /// Returns the fraction of the leased rest that this home may lease: the minimum over one lease duration, 0 if
    /// another host was home in it.
    fn leasable_part(&self, id: LimitId) -> f64 {
        let is_home = |view: &MemberView| hash::owner(id.0, view.usable.iter().copied()) == Some(self.id);
        self.views.iter().map(|view| if is_home(view) { view.part } else { 0.0 }).fold(1.0, f64::min)
    }

    /// Applies leases, except those older than the lease in force.
    fn on_lease(&mut self, now: Time, from: HostId, sent: u64, amounts: &[Option<u64>]) {
        let until = Time::from_millis(sent) + LEASE_DURATION;
        let Some(ids) = self.open_reports.swap_remove(&(from, sent)).filter(|_| now < until) else { return };
        for (id, amount) in ids.iter().zip(amounts) {
            let Some(local) = self.limits.get_mut(id) else { continue };
            let newer = local.last_lease.is_none_or(|(_, report_sent)| sent > report_sent);
            if let Some(amount) = amount.filter(|_| newer) {
                // Reports a smaller lease at once: the home counts the larger of two leases until a report confirms the
                // smaller one.
                let smaller = now < local.until && amount < local.held;
                local.reported = if smaller { Time::ZERO } else { local.reported };
                local.held = amount;
                local.until = until;
                local.last_lease = Some((from, sent));
            }
        }
    }

    /// Returns the home of a limit.
    fn home(&self, id: LimitId) -> Option<HostId> {
        let view = self.views.back()?;
        hash::owner(id.0, view.usable.iter().copied())
    }

    /// Returns the fixed part of a limit for one member.
    fn fixed_part(&self, local: &LocalLimit) -> u64 {
        let part = (local.total as f64 * FIXED_FRACTION / self.members as f64) as u64;
        if local.integral { part / THOUSANDTHS_PER_UNIT * THOUSANDTHS_PER_UNIT } else { part }
    }
}
