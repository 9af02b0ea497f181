//! What the stand-ins share: the record of the case, and every run that an executor has begun.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::Child;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// One run of a task on one executor, as that executor saw it. Times are in seconds from the start of the case.
#[derive(Debug, Clone)]
pub struct RunRecord {
    pub task: String,
    pub run: u64,
    pub token: u64,
    pub executor: String,
    pub begun: f64,
    pub ended: Option<f64>,
    /// How the run ended: a word of the protocol, or `crashed`.
    pub how: &'static str,
}

/// Members of a gang that share one run.
#[derive(Default)]
struct Gang {
    present: usize,
    complete: Option<Instant>,
    /// True once a member has ended without being done.
    broken: bool,
}

/// Record of one case.
pub struct World {
    start: Instant,
    file: Mutex<File>,
    pub runs: Mutex<Vec<RunRecord>>,
    /// Processes that this program has started and not ended yet.
    children: Mutex<Vec<Option<Child>>>,
    gangs: Mutex<BTreeMap<(String, u64), Gang>>,
}

impl World {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Mutex::new(File::create(path)?), runs: Mutex::default(), children: Mutex::default(), gangs: Mutex::default() })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn log(&self, line: &str) {
        let text = format!("{:9.3} {line}\n", self.now());
        self.file.lock().unwrap().write_all(text.as_bytes()).unwrap();
    }

    /// Adds a member to a gang of `count`.
    pub fn join_gang(&self, gang: &(String, u64), count: usize) {
        let mut gangs = self.gangs.lock().unwrap();
        let gang = gangs.entry(gang.clone()).or_default();
        gang.present += 1;
        if gang.present == count {
            gang.complete = Some(Instant::now());
        }
    }

    pub fn break_gang(&self, gang: &(String, u64)) {
        if let Some(gang) = self.gangs.lock().unwrap().get_mut(gang) {
            gang.broken = true;
        }
    }

    /// Returns how the run of a member that began at `begun` ends now, if it does.
    pub fn gang_end(&self, gang: &(String, u64), begun: Instant, work: Duration, wait: Duration) -> Option<&'static str> {
        let gangs = self.gangs.lock().unwrap();
        let gang = gangs.get(gang)?;
        match gang.complete {
            _ if gang.broken => Some("broken"),
            Some(complete) if complete.elapsed() >= work => Some("done"),
            None if begun.elapsed() >= wait => Some("alone"),
            _ => None,
        }
    }

    /// Takes over a child process and returns its position.
    pub fn add_child(&self, child: Child) -> usize {
        let mut children = self.children.lock().unwrap();
        children.push(Some(child));
        children.len() - 1
    }

    /// Kills a child process and waits for its end.
    pub fn kill_child(&self, at: usize) {
        let child = self.children.lock().unwrap()[at].take();
        if let Some(mut child) = child {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Kills all child processes.
    pub fn kill_children(&self) {
        let count = self.children.lock().unwrap().len();
        (0..count).for_each(|at| self.kill_child(at));
    }

    /// Returns the runs of the tasks of a job.
    pub fn runs_of(&self, job: &str) -> Vec<RunRecord> {
        self.runs.lock().unwrap().iter().filter(|run| run.task.starts_with(job)).cloned().collect()
    }

    /// Returns the pairs of runs of one task that went on at the same time on two executors for longer than `least`
    /// seconds, each with the length of the overlap.
    pub fn overlaps(&self, least: f64) -> Vec<(RunRecord, RunRecord, f64)> {
        let now = self.now();
        let runs = self.runs.lock().unwrap();
        let mut found = Vec::new();
        for (at, one) in runs.iter().enumerate() {
            for other in &runs[at + 1..] {
                let shared = one.ended.unwrap_or(now).min(other.ended.unwrap_or(now)) - one.begun.max(other.begun);
                if one.task == other.task && one.executor != other.executor && shared > least {
                    found.push((one.clone(), other.clone(), shared));
                }
            }
        }
        found
    }
}
