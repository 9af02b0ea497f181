//! Which waiting jobs are turned away when a pool has too little room, and when their clients may come back.
//!
//! The load pattern is a burst beyond what the targets of a pool can take, in which jobs of several queues, priorities
//! and sizes compete: if each waits for its turn, all use up their spare time, and most answers are late.

use indexmap::IndexMap;
use mangogw_model::Time;
use std::time::Duration;

/// Part of its spare time that a job may wait for room. The rest is for tasks that take longer than estimated, and lets
/// slow targets still be of use to the job.
const WAIT_SHARE: f64 = 0.5;

/// Time over which the shares of the lanes are compared, as callers see them: longer than a burst.
const MEMORY: Duration = Duration::from_secs(10);

/// Served share of a lane, as a part of that of its pool, below which the lane is spared while others are not.
const SERVED_FLOOR: f64 = 0.6;

/// Weight of the newest job in the mean work of its queue.
const NEWEST_JOB_WEIGHT: f64 = 0.02;

/// Least quantile of the work of a queue, against its mean: that of a queue whose estimates are 0.
const MIN_QUANTILE: f64 = 0.01;

/// Fixed part of what a job is worth to its caller; the rest grows with its work against the mean of its queue.
const FIXED_WORTH: f64 = 0.3;

/// Shortest time after which a client may come back, the least that the header can express.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Longest time after which a client may come back: no burst is expected to last longer.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Sizes of the jobs of a queue: the largest tenth, the fifth below it, and the rest.
const BANDS: usize = 3;

/// Queue and size of a job; jobs of one lane are alike to the decision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Lane {
    kind: usize,
    band: usize,
}

/// Reason for which a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The job would start too late behind those that go first.
    NoRoom,
    /// The job had room, and gave it to one whose lane has been turned away more than its part.
    Displaced,
    /// The job can't be in time any more, and would take room from jobs that can.
    Late,
    /// The answer would be of no use any more.
    Expired,
}

/// Job that waits for room and can be in time.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<K> {
    /// Key of the job for the caller.
    pub key: K,
    /// Queue and size of the job.
    pub lane: Lane,
    /// Last instant at which the job can start and be in time.
    pub latest_start: Time,
    /// Work of the tasks that wait, in the unit of [`Room::rate`] times milliseconds.
    pub work: f64,
    /// Work of the whole job, in core-milliseconds, as it was told to [`Shortage::arrive`].
    pub size: f64,
    /// False if the job is stored or has started, so that it has to be done.
    pub refusable: bool,
}

/// Room of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// Work that the pool does in a millisecond.
    pub rate: f64,
}

/// Job to be refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal<K> {
    /// Key of the job.
    pub key: K,
    /// Reason for the log and the metrics.
    pub reason: RefusalReason,
    /// Lane of the job that was preferred.
    pub preferred: Lane,
    /// Work of the job, as in [`Candidate::work`].
    pub work: f64,
}

/// Quantity whose earlier part fades over [`MEMORY`].
#[derive(Debug, Clone, Copy, Default)]
struct Fading {
    amount: f64,
    at: Time,
}

/// What a lane has asked for and what it was refused, in core-milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    offered: Fading,
    refused: Fading,
}

/// Jobs of one queue.
#[derive(Debug)]
struct Kind {
    pool: String,
    priority: u32,
    /// Mean work of a job, in core-milliseconds.
    mean: f64,
    /// Work from which on a job belongs to the largest three tenths, and to the largest tenth, against the mean.
    quantiles: [f64; 2],
    shares: [Share; BANDS],
}

/// What the lanes have been offered and refused, by which the next refusals are chosen.
#[derive(Debug, Default)]
pub struct Shortage {
    kinds: IndexMap<String, Kind>,
    /// Work that was turned away and may come back, by pool and priority, in milliseconds of the pool.
    returning: IndexMap<(String, u32), Fading>,
}

impl Fading {
    fn value(&self, now: Time) -> f64 {
        self.amount * (-(now - self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Time, amount: f64) {
        *self = Self { amount: self.value(now) + amount, at: now };
    }
}

impl Kind {
    fn new(pool: &str, priority: u32, mean: f64) -> Self {
        Self { pool: pool.to_owned(), priority, mean, quantiles: [1.2, 1.8], shares: [Share::default(); BANDS] }
    }

    /// Records the work of a job, and returns its band.
    fn band(&mut self, work: f64) -> usize {
        self.mean += NEWEST_JOB_WEIGHT * (work - self.mean);
        let ratio = work / self.mean.max(f64::MIN_POSITIVE);
        for (quantile, above) in self.quantiles.iter_mut().zip([0.3, 0.1]) {
            let step = if ratio > *quantile { 1.0 - above } else { -above };
            *quantile = (*quantile * (1.0 + 2.0 * NEWEST_JOB_WEIGHT * step)).max(MIN_QUANTILE);
        }
        self.quantiles.iter().filter(|quantile| ratio > **quantile).count()
    }
}

/// Returns the part of refusals that a band of sizes bears: the inverse of what its core-seconds are worth.
fn band_weight(kind: &Kind, band: usize) -> f64 {
    let ratio = match band {
        0 => 1.0,
        band => kind.quantiles[band - 1].max(1.0),
    };
    ratio / (FIXED_WORTH + (1.0 - FIXED_WORTH) * ratio)
}

impl Shortage {
    /// Records a job of a queue that arrives and may be refused, with its work in core-milliseconds, and returns its lane.
    pub fn arrive(&mut self, now: Time, queue: &str, pool: &str, priority: u32, work: f64) -> Lane {
        let lane = self.lane(queue, pool, priority, work);
        if let Some((_, kind)) = self.kinds.get_index_mut(lane.kind) {
            kind.shares[lane.band].offered.add(now, work);
        }
        lane
    }

    /// Returns the lane of a job that has to be done, and so counts for no share of what is refused.
    pub fn lane(&mut self, queue: &str, pool: &str, priority: u32, work: f64) -> Lane {
        let kind = match self.kinds.get_index_of(queue) {
            Some(kind) => kind,
            None => self.kinds.insert_full(queue.to_owned(), Kind::new(pool, priority, work)).0,
        };
        let known = &mut self.kinds[kind];
        known.priority = priority;
        if known.pool != pool {
            pool.clone_into(&mut known.pool);
        }
        let band = known.band(work);
        Lane { kind, band }
    }

    /// Records that a job of this work, in core-milliseconds, is refused.
    pub fn record_refusal(&mut self, now: Time, lane: Lane, work: f64) {
        if let Some((_, kind)) = self.kinds.get_index_mut(lane.kind) {
            kind.shares[lane.band].refused.add(now, work);
        }
    }

    /// Returns the name of the queue of a lane.
    pub fn queue(&self, lane: Lane) -> &str {
        self.kinds.get_index(lane.kind).map_or("", |(name, _)| name)
    }

    /// Chooses the jobs of one pool that can't all be in time together with the others. `candidates` are in the order in
    /// which they start, which is that of their latest starts. Whenever the work that goes first takes a job beyond its
    /// part of its spare time, the lane that has borne least of its part of the refusals gives a job: parts grow with the
    /// rank of the priority and fall with what a core-second of the size is worth, and a lane that is served far less than
    /// its pool gives none.
    ///
    /// ```
    /// use mangogw_jobs::{Candidate, Room, Shortage};
    /// use mangogw_model::Time;
    /// let mut shortage = Shortage::default();
    /// let urgent = shortage.arrive(Time::ZERO, "urgent", "pool", 0, 100.0);
    /// let bulk = shortage.arrive(Time::ZERO, "bulk", "pool", 1, 100.0);
    /// let job = |key, lane| {
    ///     Candidate { key, lane, latest_start: Time::from_millis(100), work: 100.0, size: 100.0, refusable: true }
    /// };
    /// let refusals = shortage.choose(Time::ZERO, Room { rate: 1.0 }, &[job(1, bulk), job(2, urgent)]);
    /// assert_eq!(refusals.iter().map(|refusal| refusal.key).collect::<Vec<_>>(), [1]);
    /// ```
    pub fn choose<K: Copy>(&self, now: Time, room: Room, candidates: &[Candidate<K>]) -> Vec<Refusal<K>> {
        let mut burdens = Burdens::new(self, now, candidates);
        let mut accepted: IndexMap<Lane, Vec<&Candidate<K>>> = IndexMap::new();
        let mut refusals = Vec::new();
        let mut ahead = 0.0;
        // Work that goes first whatever is refused, and the lane of the last such job.
        let mut fixed = (0.0, None);
        for job in candidates {
            let spare = (job.latest_start - now).as_secs_f64() * 1000.0 * WAIT_SHARE * room.rate;
            let is_hopeless = fixed.0 > spare;
            match fixed.1 {
                _ if !job.refusable => fixed = (fixed.0 + job.work, Some(job.lane)),
                Some(preferred) if is_hopeless => {
                    burdens.add(job.lane, job.size);
                    refusals.push(Refusal { key: job.key, reason: RefusalReason::NoRoom, preferred, work: job.work });
                    continue;
                }
                _ => accepted.entry(job.lane).or_default().push(job),
            }
            ahead += job.work;
            if is_hopeless {
                continue;
            }
            while ahead - job.work > spare {
                let Some(lane) = burdens.least(accepted.iter().filter(|(_, jobs)| !jobs.is_empty())) else { break };
                let Some(given) = accepted.get_mut(&lane).and_then(Vec::pop) else { break };
                ahead -= given.work;
                burdens.add(lane, given.size);
                let itself = std::ptr::eq(given, job);
                let reason = if itself { RefusalReason::NoRoom } else { RefusalReason::Displaced };
                refusals.push(Refusal { key: given.key, reason, preferred: job.lane, work: given.work });
                if itself {
                    break;
                }
            }
        }
        refusals
    }

    /// Returns the time after which the client of a job of this work, in milliseconds of its pool, may come back: after
    /// those that were turned away before it and go first by their priority.
    ///
    /// ```
    /// use mangogw_jobs::Shortage;
    /// use mangogw_model::Time;
    /// use std::time::Duration;
    /// let mut shortage = Shortage::default();
    /// assert_eq!(shortage.retry_after(Time::ZERO, "pool", 0, 1500.0), Duration::from_secs(1));
    /// assert_eq!(shortage.retry_after(Time::ZERO, "pool", 1, 10.0), Duration::from_secs(3));
    /// assert_eq!(shortage.retry_after(Time::ZERO, "other", 1, 10.0), Duration::from_secs(1));
    /// ```
    pub fn retry_after(&mut self, now: Time, pool: &str, priority: u32, work: f64) -> Duration {
        let first = |((other, at), _): &(&(String, u32), &Fading)| other == pool && *at <= priority;
        let ahead: f64 = self.returning.iter().filter(first).map(|(_, work)| work.value(now)).sum();
        self.returning
            .entry((pool.to_owned(), priority))
            .or_default()
            .add(now, work.min(MAX_RETRY.as_secs_f64() * 1e3));
        retry_in(Duration::from_secs_f64(ahead / 1000.0))
    }
}

/// Returns the time to tell a client for whose work there will be room after `wait`: whole seconds, as the header has
/// them, and within bounds.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(mangogw_jobs::retry_in(Duration::ZERO), Duration::from_secs(1));
/// assert_eq!(mangogw_jobs::retry_in(Duration::from_millis(1200)), Duration::from_secs(3));
/// ```
pub fn retry_in(wait: Duration) -> Duration {
    Duration::from_secs(wait.as_secs_f64().ceil() as u64).saturating_add(MIN_RETRY).min(MAX_RETRY)
}

/// Shares of refusals of the lanes of one pool, during one decision.
struct Burdens {
    /// Offered and refused work of each lane, and the weight of its refusals.
    lanes: IndexMap<Lane, (f64, f64, f64)>,
}

impl Burdens {
    fn new<K>(shortage: &Shortage, now: Time, candidates: &[Candidate<K>]) -> Self {
        let mut kinds: Vec<usize> = candidates.iter().map(|job| job.lane.kind).collect();
        kinds.sort_unstable();
        kinds.dedup();
        let pool = kinds.first().and_then(|kind| shortage.kinds.get_index(*kind)).map(|(_, kind)| &kind.pool);
        let of_pool = |(_, (_, kind)): &(usize, (&String, &Kind))| Some(&kind.pool) == pool;
        let mut priorities: Vec<u32> =
            shortage.kinds.iter().enumerate().filter(of_pool).map(|(_, (_, kind))| kind.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        let mut lanes = IndexMap::new();
        for (at, (_, kind)) in shortage.kinds.iter().enumerate().filter(of_pool) {
            let rank = priorities.iter().take_while(|priority| **priority < kind.priority).count();
            for (band, share) in kind.shares.iter().enumerate() {
                let weight = (1 + rank) as f64 * band_weight(kind, band);
                lanes.insert(Lane { kind: at, band }, (share.offered.value(now), share.refused.value(now), weight));
            }
        }
        Self { lanes }
    }

    fn add(&mut self, lane: Lane, work: f64) {
        if let Some((_, refused, _)) = self.lanes.get_mut(&lane) {
            *refused += work;
        }
    }

    /// Returns the lane that has borne least of its part; lanes below the floor only if all are.
    fn least<'a, T: 'a>(&self, given: impl Iterator<Item = (&'a Lane, T)>) -> Option<Lane> {
        let totals = self.lanes.values().fold((0.0, 0.0), |sum, lane| (sum.0 + lane.0, sum.1 + lane.1));
        let served = |offered: f64, refused: f64| 1.0 - (refused / offered.max(f64::MIN_POSITIVE)).min(1.0);
        let floor = SERVED_FLOOR * served(totals.0, totals.1);
        let cost = |(lane, _): (&Lane, T)| {
            let (offered, refused, weight) = self.lanes.get(lane).copied().unwrap_or((1.0, 0.0, 1.0));
            (served(offered, refused) < floor, refused / offered.max(f64::MIN_POSITIVE) / weight, *lane)
        };
        let order = |a: &(bool, f64, Lane), b: &(bool, f64, Lane)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
        given.map(cost).min_by(order).map(|(.., lane)| lane)
    }
}
