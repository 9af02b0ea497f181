//! Waiting jobs in the order in which they start.
//!
//! The load pattern is a backlog of tens of thousands of jobs, of which a pass may visit only as many as can start.

use super::table::JobKey;
use crate::policy::{PriorityClass, Rank};
use indexmap::IndexMap;
use mangogw_model::Time;
use slotmap::SecondaryMap;
use std::collections::BTreeSet;
use std::ops::Bound;

/// Number of jobs that are looked at for each that a pass visits, where some may not start during a takeover.
const LOOKS_PER_VISIT: usize = 8;

/// Waiting jobs of each pool by rank.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    pools: IndexMap<String, Line>,
    /// Rank and pool under which each job is in its line.
    places: SecondaryMap<JobKey, (Rank, usize)>,
}

/// Waiting jobs of one pool.
#[derive(Debug, Default)]
struct Line {
    order: BTreeSet<(Rank, JobKey)>,
    /// Job at which the last pass ended that did not reach the end of the line.
    resume: Option<(Rank, JobKey)>,
}

impl Backlog {
    /// Puts a job into the line of its pool, in place of its earlier rank.
    pub(super) fn insert(&mut self, key: JobKey, pool: &str, rank: Rank) {
        self.remove(key);
        let at = match self.pools.get_index_of(pool) {
            Some(at) => at,
            None => self.pools.insert_full(pool.to_owned(), Line::default()).0,
        };
        self.pools[at].order.insert((rank, key));
        self.places.insert(key, (rank, at));
    }

    pub(super) fn remove(&mut self, key: JobKey) {
        if let Some((rank, at)) = self.places.remove(key) {
            self.pools[at].order.remove(&(rank, key));
        }
    }

    /// Returns the jobs whose class has changed by `now`, since their latest start has passed.
    pub(super) fn overdue(&self, now: Time) -> Vec<JobKey> {
        let mut keys = Vec::new();
        for line in self.pools.values() {
            for class in [PriorityClass::Timely, PriorityClass::Late] {
                let from = line.order.range((Rank::first(class), JobKey::default())..);
                let passed = from.take_while(|(rank, _)| rank.class() == class && rank.latest_start() < now);
                keys.extend(passed.map(|(_, key)| *key));
            }
        }
        keys
    }

    /// Returns the names of the pools with waiting jobs.
    pub(super) fn pools(&self) -> impl Iterator<Item = &String> {
        self.pools.iter().filter(|(_, line)| !line.order.is_empty()).map(|(name, _)| name)
    }

    /// Returns the first `most` jobs of a class in the line of a pool.
    pub(super) fn of_class(
        &self,
        pool: &str,
        class: PriorityClass,
        most: usize,
    ) -> impl Iterator<Item = (Rank, JobKey)> {
        let from = self.pools.get(pool).map(|line| line.order.range((Rank::first(class), JobKey::default())..));
        from.into_iter().flatten().copied().take_while(move |(rank, _)| rank.class() == class).take(most)
    }

    /// Returns the jobs of a pool that a pass visits: the first `most` that may start, and as many behind them from where
    /// the last pass ended, so that jobs that fit nowhere hold up none behind them for long.
    pub(super) fn visit(&mut self, pool: &str, most: usize, may_start: impl Fn(JobKey) -> bool) -> Vec<JobKey> {
        let Some(line) = self.pools.get_mut(pool) else { return Vec::new() };
        let looked = LOOKS_PER_VISIT * most;
        let mut keys = Vec::new();
        let head = look(line.order.iter().take(looked), most, &may_start, &mut keys);
        let lower = line.resume.max(head).map_or(Bound::Unbounded, Bound::Excluded);
        let behind = look(line.order.range((lower, Bound::Unbounded)).take(looked), most, &may_start, &mut keys);
        let last = behind.or(line.resume).max(head);
        line.resume = last.filter(|last| line.order.last().is_some_and(|end| last < end));
        keys
    }
}

/// Adds the first `most` of `places` that may start to `keys`, and returns the last place that was looked at.
fn look<'a>(
    places: impl Iterator<Item = &'a (Rank, JobKey)>,
    most: usize,
    may_start: impl Fn(JobKey) -> bool,
    keys: &mut Vec<JobKey>,
) -> Option<(Rank, JobKey)> {
    let (mut last, end) = (None, keys.len() + most);
    for place in places {
        last = Some(*place);
        if may_start(place.1) {
            keys.push(place.1);
        }
        if keys.len() == end {
            break;
        }
    }
    last
}
