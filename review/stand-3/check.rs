//! Checks of the rules on what the executors have run.

use crate::record::Event;
use std::time::Duration;

/// A run on an executor, from its start to its end.
#[derive(Debug, Clone)]
pub struct Span {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub from: Duration,
    pub to: Duration,
    pub how: &'static str,
}

/// Returns all runs; those without an end last until `now`.
pub fn spans(events: &[Event], now: Duration) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    for event in events {
        match event.how {
            None => spans.push(Span {
                executor: event.executor.clone(),
                task: event.task.clone(),
                run: event.run,
                from: event.at,
                to: now,
                how: "",
            }),
            Some(how) => {
                let same = |span: &&mut Span| {
                    span.how.is_empty()
                        && span.executor == event.executor
                        && span.task == event.task
                        && span.run == event.run
                };
                if let Some(span) = spans.iter_mut().rev().find(same) {
                    (span.to, span.how) = (event.at, how);
                }
            }
        }
    }
    spans
}

/// Returns the longest time between `from` and `to` in which no run of a task that begins with `prefix` goes on.
pub fn longest_idle(spans: &[Span], prefix: &str, from: Duration, to: Duration) -> (Duration, Duration) {
    let mut own: Vec<&Span> = spans.iter().filter(|span| span.task.starts_with(prefix) && span.to > from).collect();
    own.sort_by_key(|span| span.from);
    let (mut at, mut best) = (from, (from, from));
    for span in own {
        let end = span.from.min(to);
        if end > at && end - at > best.1 - best.0 {
            best = (at, end);
        }
        at = at.max(span.to.min(to));
    }
    if to > at && to - at > best.1 - best.0 {
        best = (at, to);
    }
    best
}
