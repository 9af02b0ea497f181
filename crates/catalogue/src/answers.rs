//! The answers to changes that carried an idempotency key, for a bounded time.

use crate::command::{Command, Reply};
use indexmap::IndexMap;
use mangogw_model::Key;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;

/// A short digest; two that are equal come from equal input for all practical purposes.
type Short = u128;

/// One remembered answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Answer {
    key: Short,
    body: Short,
    at_ms: u64,
    reply: Reply,
}

/// What is known of a key.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Seen<'a> {
    /// Nothing.
    New,
    /// The same change was answered.
    Same(&'a Reply),
    /// Another change was answered under it.
    Other,
}

/// The table of answers, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "VecDeque<Answer>", into = "VecDeque<Answer>")]
pub(crate) struct Answers {
    order: VecDeque<Short>,
    by_key: IndexMap<Short, Answer>,
}

impl From<VecDeque<Answer>> for Answers {
    fn from(list: VecDeque<Answer>) -> Self {
        let order = list.iter().map(|answer| answer.key).collect();
        let by_key = list.into_iter().map(|answer| (answer.key, answer)).collect();
        Self { order, by_key }
    }
}

impl From<Answers> for VecDeque<Answer> {
    fn from(answers: Answers) -> Self {
        answers.order.iter().filter_map(|key| answers.by_key.get(key).cloned()).collect()
    }
}

impl Answers {
    pub(crate) fn find(&self, principal: &str, key: &Key, command: &Command) -> Seen<'_> {
        match self.by_key.get(&name(principal, key)) {
            None => Seen::New,
            Some(answer) if answer.body == body(command) => Seen::Same(&answer.reply),
            Some(_) => Seen::Other,
        }
    }

    /// Remembers an answer; the oldest go when there are more than `most`.
    pub(crate) fn put(&mut self, principal: &str, key: &Key, command: &Command, reply: &Reply, most: usize) {
        let key = name(principal, key);
        let answer = Answer { key, body: body(command), at_ms: command.at_ms, reply: reply.clone() };
        if self.by_key.insert(key, answer).is_none() {
            self.order.push_back(key);
        }
        while self.order.len() > most {
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
        let answer = self.by_key.get(self.order.front()?)?;
        Some(answer.at_ms)
    }

    fn drop_oldest(&mut self) {
        if let Some(key) = self.order.pop_front() {
            self.by_key.swap_remove(&key);
        }
    }
}

fn name(principal: &str, key: &Key) -> Short {
    let mut hash = Sha256::new();
    hash.update((principal.len() as u64).to_le_bytes());
    hash.update(principal);
    hash.update(key.as_str());
    short(hash)
}

/// What the change asks, whenever and from wherever it is sent.
fn body(command: &Command) -> Short {
    let bytes = postcard::to_stdvec(&(&command.base, &command.action)).unwrap_or_default();
    short(Sha256::new_with_prefix(bytes))
}

fn short(hash: Sha256) -> Short {
    let bytes = hash.finalize();
    bytes.iter().take(16).fold(0, |sum, byte| (sum << 8) | Short::from(*byte))
}
