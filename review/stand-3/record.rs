//! What was sent, answered and run, with times since the start of the script.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub struct Event {
    pub at: Duration,
    pub executor: String,
    pub task: String,
    pub run: u64,
    /// `None` for a start, else how the run ended.
    pub how: Option<&'static str>,
}

#[derive(Debug)]
pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { begun: Instant::now(), file: Mutex::new(file), events: Mutex::new(Vec::new()) }
    }

    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().expect("no panic with the lock");
        let _ = writeln!(file, "{:8.3} {text}", self.now().as_secs_f64());
    }

    pub fn start(&self, executor: &str, task: &str, run: u64, token: u64, checkpoint: &str) {
        self.push(executor, task, run, None);
        self.note(&format!("{executor} starts {task} run {run} token {token} checkpoint {checkpoint:?}"));
    }

    pub fn end(&self, executor: &str, task: &str, run: u64, how: &'static str) {
        self.push(executor, task, run, Some(how));
        self.note(&format!("{executor} ends {task} run {run}: {how}"));
    }

    fn push(&self, executor: &str, task: &str, run: u64, how: Option<&'static str>) {
        let event = Event { at: self.now(), executor: executor.to_owned(), task: task.to_owned(), run, how };
        self.events.lock().expect("no panic with the lock").push(event);
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().expect("no panic with the lock").clone()
    }
}
