//! Queues and pools, replaced as a whole set under one version, and the index from requests to queues.

use bytes::Bytes;
use indexmap::IndexMap;
use mangogw_model::Version;
use serde::{Deserialize, Serialize};

/// Class of requests, selected by host name and path.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name of the requests.
    pub host_name: String,
    /// Prefix of the paths of the requests.
    pub prefix: String,
    /// Name of the pool whose targets run the tasks.
    pub pool: String,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Number of failed runs after which a task fails for good; 0 counts as 1.
    pub attempts: u32,
    /// Factor of the critical path in the response-time goal.
    pub stretch: f64,
    /// Constant part of the response-time goal, in milliseconds.
    pub slack: u64,
    /// Longest time that a request may take, in milliseconds.
    pub timeout: u64,
}

/// Targets that run the same work.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: String,
    /// True if the targets refuse runs that exceed their resources.
    pub enforces_capacity: bool,
    /// True if the targets are switched off.
    pub spare: bool,
}

/// All queues and pools, under one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueSet {
    /// Version of the set; the set with the highest version is in force.
    pub version: Version,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// Document from which the set was read, returned unchanged on request.
    pub document: Bytes,
}

impl QueueSet {
    /// Returns the queue of a request, which is the one with the longest prefix of `path` under `host`; `None` if there
    /// is none. Builds an index for each call, which a board keeps.
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

/// Index from host name and prefix to the position of a queue in its set.
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

    /// Returns the position of the queue of `host` with the longest prefix of `path`, with one lookup per length.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.by_host.get(host)?;
        let mut ends = (0..=path.len()).rev().filter(|end| path.is_char_boundary(*end));
        ends.find_map(|end| prefixes.get(&path[..end])).copied()
    }
}
