//! The answers to changes that carried an idempotency key, for a bounded time.

use crate::command::{Command, Reply};
use indexmap::IndexMap;
use mangogw_model::Key;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;

/// A short digest; two that are equal come from equal input for all practical purposes.
type ShortDigest = u128;

/// One remembered answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct CachedReply {
    key: ShortDigest,
    body_digest: ShortDigest,
    at_ms: u64,
    reply: Reply,
}

/// What is known of a key.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CacheLookup<'a> {
    /// Nothing.
    Miss,
    /// The same change was answered.
    Hit(&'a Reply),
    /// Another change was answered under it.
    Conflict,
}

/// The table of answers, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "VecDeque<CachedReply>", into = "VecDeque<CachedReply>")]
pub(crate) struct ReplyCache {
    order: VecDeque<ShortDigest>,
    by_key: IndexMap<ShortDigest, CachedReply>,
}

impl From<VecDeque<CachedReply>> for ReplyCache {
    fn from(list: VecDeque<CachedReply>) -> Self {
        let order = list.iter().map(|cached| cached.key).collect();
        let by_key = list.into_iter().map(|cached| (cached.key, cached)).collect();
        Self { order, by_key }
    }
}

impl From<ReplyCache> for VecDeque<CachedReply> {
    fn from(cache: ReplyCache) -> Self {
        cache.order.iter().filter_map(|key| cache.by_key.get(key).cloned()).collect()
    }
}

impl ReplyCache {
    pub(crate) fn find(&self, principal: &str, key: &Key, command: &Command) -> CacheLookup<'_> {
        match self.by_key.get(&key_digest(principal, key)) {
            None => CacheLookup::Miss,
            Some(cached) if cached.body_digest == body_digest(command) => CacheLookup::Hit(&cached.reply),
            Some(_) => CacheLookup::Conflict,
        }
    }

    /// Remembers an answer; the oldest go when there are more than `capacity`.
    pub(crate) fn insert(&mut self, principal: &str, key: &Key, command: &Command, reply: &Reply, capacity: usize) {
        let key = key_digest(principal, key);
        let cached = CachedReply { key, body_digest: body_digest(command), at_ms: command.at_ms, reply: reply.clone() };
        if self.by_key.insert(key, cached).is_none() {
            self.order.push_back(key);
        }
        while self.order.len() > capacity {
            self.drop_oldest();
        }
    }

    /// Forgets answers that are older than `age_ms`.
    pub(crate) fn expire(&mut self, now_ms: u64, age_ms: u64) {
        while self.oldest_ms().is_some_and(|at| at.saturating_add(age_ms) < now_ms) {
            self.drop_oldest();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    fn oldest_ms(&self) -> Option<u64> {
        let cached = self.by_key.get(self.order.front()?)?;
        Some(cached.at_ms)
    }

    fn drop_oldest(&mut self) {
        if let Some(key) = self.order.pop_front() {
            self.by_key.swap_remove(&key);
        }
    }
}

fn key_digest(principal: &str, key: &Key) -> ShortDigest {
    let mut hash = Sha256::new();
    hash.update((principal.len() as u64).to_le_bytes());
    hash.update(principal);
    hash.update(key.as_str());
    truncate_digest(hash)
}

/// What the change asks, whenever and from wherever it is sent.
fn body_digest(command: &Command) -> ShortDigest {
    let bytes = postcard::to_stdvec(&(&command.base, &command.action)).unwrap_or_default();
    truncate_digest(Sha256::new_with_prefix(bytes))
}

fn truncate_digest(hash: Sha256) -> ShortDigest {
    let bytes = hash.finalize();
    bytes.iter().take(16).fold(0, |sum, byte| (sum << 8) | ShortDigest::from(*byte))
}
