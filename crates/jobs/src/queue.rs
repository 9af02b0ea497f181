//! Queues and pools: a whole set under one version, of which the highest counts.

use bytes::Bytes;
use indexmap::IndexMap;
use mangogw_model::Version;
use serde::{Deserialize, Serialize};

/// A class of requests, found by host name and path.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host name of its requests.
    pub host_name: String,
    /// What the path of its requests begins with.
    pub prefix: String,
    /// The pool whose targets run its tasks.
    pub pool: String,
    /// 0 comes first.
    pub priority: u32,
    /// A task fails for good after so many failed runs; 0 for 1.
    pub attempts: u32,
    /// The response-time goal is so many times the chain of work,
    pub stretch: f64,
    /// and so many milliseconds.
    pub slack: u64,
    /// The longest that a request may take, in milliseconds.
    pub timeout: u64,
}

/// Targets that run the same work.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Its targets refuse what does not fit.
    pub enforces_capacity: bool,
    /// Its targets are off.
    pub spare: bool,
}

/// Every queue and pool, under one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueSet {
    /// Of two sets the one with the higher version counts.
    pub version: Version,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The document that the set was read from; it is given back as it came.
    pub document: Bytes,
}

impl QueueSet {
    /// The queue of a request: the longest prefix of `path` under `host`. A board keeps the index that this makes anew.
    ///
    /// ```
    /// use mangogw_jobs::{Queue, QueueSet};
    /// let queue = |prefix: &str| Queue { host_name: "a".into(), prefix: prefix.into(), ..Queue::default() };
    /// let set = QueueSet { queues: vec![queue("/x/"), queue("/x/y/")], ..QueueSet::default() };
    /// assert_eq!(set.find("a", "/x/y/z").unwrap().prefix, "/x/y/");
    /// assert!(set.find("b", "/x/y/z").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        RouteIndex::new(self).find(host, path).and_then(|at| self.queues.get(at))
    }
}

/// An index from host name and prefix to the place of a queue in its set.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteIndex {
    by_host: IndexMap<String, IndexMap<String, usize>>,
}

impl RouteIndex {
    pub(crate) fn new(set: &QueueSet) -> Self {
        let mut by_host: IndexMap<String, IndexMap<String, usize>> = IndexMap::new();
        for (at, queue) in set.queues.iter().enumerate() {
            by_host.entry(queue.host_name.clone()).or_default().insert(queue.prefix.clone(), at);
        }
        Self { by_host }
    }

    /// The longest prefix of `path` that is a queue of `host`: one look for each length of the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.by_host.get(host)?;
        let mut ends = (0..=path.len()).rev().filter(|end| path.is_char_boundary(*end));
        ends.find_map(|end| prefixes.get(&path[..end])).copied()
    }
}
