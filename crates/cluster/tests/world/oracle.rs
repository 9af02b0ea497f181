//! The oracle of the simulation: checks each start of a task and each reply to a caller.

use super::answer;
use mangogw_cluster::records::{Reply, SubmissionEnd, Tag};
use mangogw_model::{Code, Key, Outcome};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Debug, Clone)]
struct Request {
    time: u64,
    host: usize,
    key: Key,
    /// Digest of the body; none for a read or a cancel.
    digest: Option<u8>,
    /// True once the request got a reply, or its host crashed.
    finished: bool,
    /// True if the request was refused as `not-run`.
    refused: bool,
}

#[derive(Debug, Default)]
pub struct Oracle {
    requests: BTreeMap<Tag, Request>,
    starts: BTreeMap<(Key, u32), (u64, u8)>,
    ends: BTreeMap<Key, Arc<SubmissionEnd>>,
    /// Time of the first reply with the end of a key, in microseconds.
    first_replies: BTreeMap<Key, u64>,
    replies: BTreeMap<Tag, Reply>,
    /// Time for which hosts retain the end of a submission, in microseconds.
    pub retention: u64,
    pub completes: u64,
    pub failures: u64,
    pub unknowns: u64,
    pub refusals: u64,
    pub faults: Vec<String>,
}

impl Oracle {
    pub fn new(retention: u64) -> Self {
        Self { retention, ..Self::default() }
    }

    pub fn on_request(&mut self, time: u64, tag: Tag, host: usize, key: &Key, digest: Option<u8>) {
        let request = Request { time, host, key: key.clone(), digest, finished: false, refused: false };
        self.requests.insert(tag, request);
    }

    /// Marks the requests of a host that crashed as finished; their callers get no reply.
    pub fn on_host_lost(&mut self, host: usize) {
        for request in self.requests.values_mut().filter(|request| request.host == host) {
            request.finished = true;
        }
    }

    pub fn reply(&self, tag: Tag) -> Option<Reply> {
        self.replies.get(&tag).cloned()
    }

    pub fn waiting(&self, host: usize) -> usize {
        self.requests.values().filter(|request| request.host == host && !request.finished).count()
    }

    pub fn open(&self) -> usize {
        self.requests.values().filter(|request| !request.finished).count()
    }

    pub fn count(&self) -> usize {
        self.starts.len()
    }

    pub fn keys(&self) -> Vec<Key> {
        let mut keys: Vec<Key> = self.requests.values().map(|request| request.key.clone()).collect();
        keys.sort();
        keys.dedup();
        keys
    }

    /// Checks that a task starts only once, and not after a reported end that rules out a start.
    pub fn on_start(&mut self, time: u64, host: usize, key: &Key, task: u32, digest: u8, local: bool) {
        let before = self.starts.insert((key.clone(), task), (time, digest));
        self.check(before.is_none(), || format!("{time}: {key}/{task} started again, at {host}, before {before:?}"));
        let end = self.ends.get(key).cloned();
        let reported = match end.as_deref() {
            Some(SubmissionEnd::Failed { code, .. }) => code.outcome() == Outcome::NotRun || local,
            Some(SubmissionEnd::Complete(_)) => true,
            None => false,
        };
        self.check(!reported, || {
            format!("{time}: {key}/{task} started at {host} after its end was reported as {end:?}")
        });
    }

    /// Checks a reply to a caller.
    pub fn on_reply(&mut self, time: u64, tag: Tag, reply: &Reply) {
        let Some(request) = self.requests.get_mut(&tag) else {
            return self.check(false, || format!("{time}: {tag:?} got a reply, but was never requested"));
        };
        let duplicate = std::mem::replace(&mut request.finished, true);
        let request = request.clone();
        self.replies.insert(tag, reply.clone());
        self.check(!duplicate, || format!("{time}: {tag:?} got two replies"));
        match reply {
            Reply::Running { .. } => {
                let first_reply = self.first_replies.get(&request.key).copied().unwrap_or(u64::MAX);
                self.check(first_reply >= request.time, || {
                    format!("{time}: {} is reported as running after its end was reported", request.key)
                });
            }
            Reply::Ended(end) => self.on_end(time, &request.key, end),
            Reply::Refused(code) if code.outcome() == Outcome::NotRun => self.on_refused(time, tag, &request, *code),
            Reply::Refused(_) => self.unknowns += 1,
        }
    }

    fn on_end(&mut self, time: u64, key: &Key, end: &Arc<SubmissionEnd>) {
        self.first_replies.entry(key.clone()).or_insert(time);
        let first = Arc::clone(self.ends.entry(key.clone()).or_insert_with(|| Arc::clone(end)));
        self.check(first == *end, || format!("{time}: the end of {key} was reported as {first:?}, now as {end:?}"));
        match &**end {
            SubmissionEnd::Complete(answers) => {
                self.completes += 1;
                for (task, (_, body)) in answers.iter().enumerate() {
                    let digest = self.starts.get(&(key.clone(), task as u32)).map(|start| start.1);
                    let correct = digest.is_some_and(|digest| answer(key, task as u32, digest).as_bytes() == body);
                    self.check(correct, || format!("{time}: {key}/{task} has a wrong answer"));
                }
            }
            SubmissionEnd::Failed { code, .. } => {
                self.failures += 1;
                let ran = self.starts.keys().any(|(started, _)| started == key);
                let contradicts = ran && code.outcome() == Outcome::NotRun;
                self.check(!contradicts, || format!("{time}: {key} was reported as {code}, but it ran"));
            }
        }
    }

    fn on_refused(&mut self, time: u64, tag: Tag, request: &Request, code: Code) {
        self.refusals += 1;
        if let Some(request) = self.requests.get_mut(&tag) {
            request.refused = true;
        }
        let same_body = |digest: u8| request.digest.is_none_or(|requested| requested == digest);
        let ran = self.starts.iter().any(|((key, _), (start, digest))| {
            let retained = time < *start + self.retention;
            *key == request.key && same_body(*digest) && retained && (code == Code::KeyReused || *start < request.time)
        });
        self.check(!ran, || format!("{time}: {} was refused as {code}, but it ran", request.key));
    }

    /// Checks at the end that each task that started was requested by a caller who was not told that it did not run.
    pub fn close(&mut self) {
        for ((key, task), (time, digest)) in self.starts.clone() {
            let requested = self.requests.values().any(|request| {
                request.key == key && request.digest == Some(digest) && request.time <= time && !request.refused
            });
            self.check(requested, || {
                format!("{key}/{task} started at {time}, but every caller was told that it did not start")
            });
        }
    }

    pub fn check(&mut self, holds: bool, fault: impl FnOnce() -> String) {
        if !holds {
            self.faults.push(fault());
        }
    }
}
