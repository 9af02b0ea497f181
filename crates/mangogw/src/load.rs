//! Load generator: sends requests and jobs to a cluster in an open loop, with resubmits and cancels, and reports the
//! results.

mod plan;
mod report;

pub use plan::{ArrivalOffset, ArrivalPattern, Plan};
pub use report::{Quantiles, Report};

use crate::client::{Client, Response};
use crate::target::TaskPayload;
use bytes::Bytes;
use http::Method;
use indexmap::IndexMap;
use indicatif::{ProgressBar, ProgressStyle};
use mangogw_model::{EntryName, JobState, JobView};
use plan::{Call, CallKind};
use report::Tally;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Settings of a load.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Hosts that receive the calls in turn.
    pub hosts: Vec<SocketAddr>,
    /// Requests and jobs per second.
    pub rate: f64,
    /// Time during which calls are sent.
    pub duration: Duration,
    /// Pattern in which calls arrive.
    pub pattern: ArrivalPattern,
    /// Entries over which single requests are spread.
    pub entries: Vec<EntryName>,
    /// Entry of jobs; without one, every call is a single request.
    pub job_entry: Option<EntryName>,
    /// Share of calls that are jobs, from 0 to 1.
    pub job_share: f64,
    /// Number of tasks in a job.
    pub tasks: u32,
    /// Share of jobs that are sent again to another host, from 0 to 1.
    pub resubmit_share: f64,
    /// Share of jobs that are cancelled, from 0 to 1.
    pub cancel_share: f64,
    /// Mean run time on a target of speed 1.
    pub mean_runtime: Duration,
    /// Deadline of every job; single requests have the deadline of their entry.
    pub deadline: Duration,
    /// Seed of the plan.
    pub seed: u64,
    /// True to show a progress bar.
    pub show_progress: bool,
}

/// Sends the planned calls at their times and returns the report of the results.
pub async fn run(settings: &Settings) -> Report {
    let client = Client::default();
    let plan = Plan::draw(settings);
    let before = wasted_messages(&client, &settings.hosts).await;
    let bar = progress_bar(settings, plan.calls.len() as u64);
    let tally = Arc::new(Mutex::new(Tally::default()));
    let start = Instant::now();
    let mut open = JoinSet::new();
    for (number, call) in plan.calls.into_iter().enumerate() {
        sleep_until(start + call.offset).await;
        let caller = Caller {
            client: client.clone(),
            host: settings.hosts[number % settings.hosts.len()],
            second_host: settings.hosts[(number + 1) % settings.hosts.len()],
            deadline: settings.deadline,
            tally: Arc::clone(&tally),
            key: format!("load-{}-{number}", settings.seed),
        };
        let due = start + call.offset;
        open.spawn(async move { caller.call(call, due).await });
        while open.try_join_next().is_some() {}
        bar.inc(1);
    }
    open.join_all().await;
    bar.finish_and_clear();
    let after = wasted_messages(&client, &settings.hosts).await;
    let tally = std::mem::take(&mut *tally.lock().unwrap_or_else(PoisonError::into_inner));
    tally.report(start.elapsed(), after.saturating_sub(before))
}

fn progress_bar(settings: &Settings, calls: u64) -> ProgressBar {
    if !settings.show_progress {
        return ProgressBar::hidden();
    }
    let style =
        ProgressStyle::with_template("{bar:40} {pos}/{len} {eta}").unwrap_or_else(|_| ProgressStyle::default_bar());
    ProgressBar::new(calls).with_style(style)
}

/// Returns the number of messages other than the one start of each task, summed over all hosts that answer.
async fn wasted_messages(client: &Client, hosts: &[SocketAddr]) -> u64 {
    let mut total = 0;
    for &host in hosts {
        let status = client.call(host, Method::GET, "/v1/status", &[], Bytes::new()).await;
        let value: Value = status.ok().and_then(|status| serde_json::from_slice(&status.body).ok()).unwrap_or_default();
        total += value["wasted"].as_u64().unwrap_or(0);
    }
    total
}

/// Caller that sends one call and records its result.
#[derive(Debug)]
struct Caller {
    client: Client,
    host: SocketAddr,
    second_host: SocketAddr,
    deadline: Duration,
    tally: Arc<Mutex<Tally>>,
    key: String,
}

impl Caller {
    async fn call(self, call: Call, due: Instant) {
        match call.kind {
            CallKind::Run { entry, runtime_ms } => self.run(&entry, runtime_ms, due).await,
            CallKind::Job { entry, ref runtimes_ms, resubmit, cancel } => {
                self.job(&entry, runtimes_ms, resubmit, cancel, due).await;
            }
        }
    }

    async fn run(&self, entry: &EntryName, runtime_ms: f64, due: Instant) {
        let payload = TaskPayload { ran: Some(0.0), ..TaskPayload::new(runtime_ms, &self.key) };
        let path = format!("/v1/run/{entry}");
        let response = self.send(self.host, Method::POST, &path, payload.to_bytes()).await;
        let elapsed = due.elapsed();
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(response) = response else { return tally.count_lost() };
        tally.count_code(response.code());
        if response.outcome() == "answered" {
            let answer = TaskPayload::parse(&response.body);
            let is_correct = answer.note == self.key;
            tally.record_answer(elapsed, answer.ran.unwrap_or(runtime_ms), is_correct);
        }
    }

    async fn job(&self, entry: &EntryName, runtimes_ms: &[f64], resubmit: bool, cancel: bool, due: Instant) {
        let tasks: Vec<Value> = runtimes_ms.iter().map(|&millis| task(millis, &self.key)).collect();
        let mut fields = IndexMap::new();
        fields.insert("entry", Value::from(entry.as_str()));
        fields.insert("key", Value::from(self.key.as_str()));
        fields.insert("deadline_ms", Value::from(self.deadline.as_millis() as u64));
        fields.insert("tasks", Value::from(tasks));
        let body = Bytes::from(serde_json::to_vec(&fields).unwrap_or_default());
        let submitted = self.send(self.host, Method::POST, "/v1/jobs", body.clone()).await;
        if resubmit {
            self.send(self.second_host, Method::POST, "/v1/jobs", body).await;
        }
        if cancel {
            self.send(self.second_host, Method::DELETE, &format!("/v1/jobs/{}", self.key), Bytes::new()).await;
        }
        let view = match submitted {
            Some(response) if response.status == 202 => self.wait().await,
            other => other,
        };
        let elapsed = due.elapsed();
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(response) = view else { return tally.count_lost() };
        tally.count_code(response.code());
        if let Ok(view) = serde_json::from_slice::<JobView>(&response.body) {
            let is_correct = view.state != JobState::Complete || view.tasks.len() == runtimes_ms.len();
            tally.record_job(elapsed, view.state, runtimes_ms.iter().copied().fold(0.0, f64::max), is_correct);
        }
    }

    /// Waits for the end of the job at the second host.
    async fn wait(&self) -> Option<Response> {
        let wait = self.deadline.as_millis();
        self.send(self.second_host, Method::GET, &format!("/v1/jobs/{}?wait_ms={wait}", self.key), Bytes::new()).await
    }

    async fn send(&self, host: SocketAddr, method: Method, path: &str, body: Bytes) -> Option<Response> {
        let call = self.client.call(host, method, path, &[], body);
        tokio::time::timeout(self.deadline * 2, call).await.ok()?.ok()
    }
}

fn task(millis: f64, key: &str) -> Value {
    let body = String::from_utf8_lossy(&TaskPayload::new(millis, key).to_bytes()).into_owned();
    serde_json::json!({ "body": body, "estimate_ms": millis as u64 })
}
