//! Cache of replies to commands with an idempotency key, bounded in time and number.

use crate::command::{Command, Reply};
use indexmap::IndexMap;
use mangogw_model::Key;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;

/// SHA-256 truncated to 128 bits; collisions are negligible in practice.
type ShortDigest = u128;

/// A cached reply, under the digest of its principal and idempotency key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct CachedReply {
    key: ShortDigest,
    body_digest: ShortDigest,
    at_ms: u64,
    reply: Reply,
}

/// Result of looking up an idempotency key.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CacheLookup<'a> {
    /// No reply is cached under the key.
    Miss,
    /// The same change was answered with this reply.
    Hit(&'a Reply),
    /// A different change was answered under the key.
    Conflict,
}

/// Cached replies, oldest first.
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

    /// Caches a reply, and evicts the oldest replies above `capacity`.
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

    /// Evicts replies that are older than `ttl_ms` milliseconds.
    pub(crate) fn expire(&mut self, now_ms: u64, ttl_ms: u64) {
        while self.oldest_ms().is_some_and(|at| at.saturating_add(ttl_ms) < now_ms) {
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

/// Digests the base version and the action of a command; time and address of the caller may differ in a resend.
fn body_digest(command: &Command) -> ShortDigest {
    let bytes = postcard::to_stdvec(&(&command.base, &command.action)).unwrap_or_default();
    truncate_digest(Sha256::new_with_prefix(bytes))
}

fn truncate_digest(hash: Sha256) -> ShortDigest {
    let bytes = hash.finalize();
    bytes.iter().take(16).fold(0, |sum, byte| (sum << 8) | ShortDigest::from(*byte))
}
