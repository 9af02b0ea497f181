//! Counts the messages, bytes and processor time of one run.

use serde::Serialize;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Bytes and messages that each host sent, and the processor time of all hosts.
#[derive(Debug, Default)]
pub struct Meter {
    bytes: Vec<u64>,
    messages: Vec<u64>,
    busy: Duration,
}

impl Meter {
    pub fn open(hosts: usize) -> Self {
        Self { bytes: vec![0; hosts], messages: vec![0; hosts], busy: Duration::ZERO }
    }

    /// Counts a message that `from` sends.
    pub fn sent(&mut self, from: usize, message: &impl Serialize) {
        self.bytes[from] += postcard::to_stdvec(message).map_or(0, |bytes| bytes.len()) as u64;
        self.messages[from] += 1;
    }

    /// Runs `work` and adds its duration to the processor time.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = work();
        self.busy += start.elapsed();
        result
    }

    /// Returns the figures of a host over `span`, as mean and maximum.
    pub fn report(&self, span: Duration) -> Value {
        let hosts = self.bytes.len() as f64;
        let seconds = span.as_secs_f64();
        let mean = |counts: &[u64]| counts.iter().sum::<u64>() as f64 / hosts / seconds;
        let max = |counts: &[u64]| counts.iter().max().copied().unwrap_or_default() as f64 / seconds;
        let sent: u64 = self.messages.iter().sum();
        json!({
            "bytes_per_s_mean": round(mean(&self.bytes)),
            "bytes_per_s_most": round(max(&self.bytes)),
            "messages_per_s_mean": round(mean(&self.messages)),
            "messages_per_s_most": round(max(&self.messages)),
            "core_percent_mean": self.busy.as_secs_f64() / hosts / seconds * 100.0,
            "micros_per_message": round(self.busy.as_secs_f64() * 1e6 / sent.max(1) as f64),
        })
    }
}

/// Rounds to one digit after the decimal point.
pub fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// Returns the resident memory of this process, in bytes.
pub fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or_default();
    pages * 4096
}
