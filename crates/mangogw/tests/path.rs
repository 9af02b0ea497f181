//! Tests requests and jobs from a caller through a daemon to a target over loopback. They guard against incomplete,
//! foreign or misordered answers when a target fails, a key is reused, or the daemon stops with open requests.

use bytes::Bytes;
use http::Method;
use mangogw::client::{Client, Response};
use mangogw::target::{Fault, Target, TargetSettings, TaskPayload};
use mangogw_model::{Capacity, Code, JobState, JobView, Kind};
use mangogw_wire::header;
use mangogwd::server::Daemon;
use mangogwd::settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;

const CATALOGUE: &str = r#"
[owners.gate]
[entries.scan]
owner = "gate"
class = "urgent"
repeatable = true
deadline_ms = 5000
[entries.tally]
owner = "gate"
class = "normal"
"#;

async fn daemon(folder: &tempfile::TempDir) -> Daemon {
    let path = folder.path().join("catalogue.toml");
    std::fs::write(&path, CATALOGUE).unwrap();
    let args = [
        "--listen",
        "127.0.0.1:0",
        "--peer-listen",
        "127.0.0.1:0",
        "--notice-ms",
        "50",
        "--catalogue",
        path.to_str().unwrap(),
    ];
    let settings = Settings::parse(args, &|_| None).unwrap();
    let daemon = Daemon::bind(&settings).await.unwrap();
    while !daemon.node().is_ready() || daemon.node().with_host(|host, now| host.status_view(now).catalogue.0 == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    daemon
}

async fn target(name: &str, host: SocketAddr, fault: Fault) -> Target {
    let settings = TargetSettings {
        name: name.into(),
        zone: "zone-1".into(),
        rack: "".into(),
        kind: Kind::Executor,
        entries: vec!["scan".into(), "tally".into()],
        capacity: Capacity { slots: 8, ..Capacity::default() },
        speed: 1.0,
        fault,
        hosts: vec![host],
    };
    Target::bind("127.0.0.1:0".parse().unwrap(), settings).await.unwrap()
}

async fn post(host: SocketAddr, path: &str, headers: &[(&str, &str)], body: Bytes) -> Response {
    Client::default().call(host, Method::POST, path, headers, body).await.unwrap()
}

/// Waits until the host answers a request, which shows that a target has announced itself.
async fn wait_until_served(host: SocketAddr) {
    for _ in 0..200 {
        let probe = post(host, "/v1/run/scan", &[], TaskPayload::new(1.0, "probe").to_bytes()).await;
        if probe.outcome() == "answered" {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no request was answered after 200 tries");
}

#[tokio::test]
async fn request_is_answered_completely() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = daemon(&folder).await;
    let _target = target("a", daemon.address(), Fault::None).await;
    wait_until_served(daemon.address()).await;
    let body = TaskPayload::new(5.0, "gate 3").to_bytes();
    let response = post(daemon.address(), "/v1/run/scan", &[], body.clone()).await;
    assert_eq!((response.status, response.outcome(), response.code()), (200, "answered", 1000));
    assert_eq!(response.body, body);
    daemon.stop().await;
}

#[tokio::test]
async fn job_answers_are_in_task_order() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = daemon(&folder).await;
    let target = target("a", daemon.address(), Fault::None).await;
    wait_until_served(daemon.address()).await;
    let tasks: Vec<_> =
        (0..20u32).map(|i| serde_json::json!({"body": format!(r#"{{"millis":{}}}"#, 20 - i)})).collect();
    let job = serde_json::json!({"entry": "tally", "key": "wicks-1", "tasks": tasks});
    let bytes = Bytes::from(job.to_string());
    for _ in 0..2 {
        let submitted = post(daemon.address(), "/v1/jobs", &[], bytes.clone()).await;
        assert!(matches!(submitted.status, 200 | 202), "{submitted:?}");
    }
    let read = Client::default();
    let path = "/v1/jobs/wicks-1?wait_ms=5000";
    let view = read.call(daemon.address(), Method::GET, path, &[], Bytes::new()).await.unwrap();
    let view: JobView = serde_json::from_slice(&view.body).unwrap();
    assert_eq!(view.state, JobState::Complete);
    assert_eq!(view.tasks.len(), 20);
    assert_eq!(view.tasks[19], mangogw_model::TaskView::new(200, br#"{"millis":1}"#));
    let stats = target.stats();
    assert!((0..20).all(|task| stats.starts[&("wicks-1".to_owned(), task)] == 1));
    daemon.stop().await;
}

#[tokio::test]
async fn reused_key_with_another_body_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = daemon(&folder).await;
    let job = |body: &str| {
        Bytes::from(
            serde_json::json!({"entry":"tally","key":"k","deadline_ms":300,"tasks":[{"body":body}]}).to_string(),
        )
    };
    post(daemon.address(), "/v1/jobs", &[], job("a")).await;
    let reused = post(daemon.address(), "/v1/jobs", &[], job("b")).await;
    assert_eq!(reused.code(), Code::KeyReused.number());
    daemon.stop().await;
}

#[tokio::test]
async fn target_faults_never_reach_callers_as_answers() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = daemon(&folder).await;
    let target = target("a", daemon.address(), Fault::None).await;
    wait_until_served(daemon.address()).await;
    let body = TaskPayload::new(1.0, "a rather long note so that half of it is short").to_bytes();
    let cases = [
        (Fault::Fail, Code::TargetFailed),
        (Fault::Cut, Code::AnswerCut),
        (Fault::Cross, Code::TargetLost),
        (Fault::Stall, Code::DeadlinePassed),
        (Fault::Late, Code::DeadlinePassed),
    ];
    for (fault, code) in cases {
        target.set_fault(fault);
        let headers = [(header::DEADLINE, "300")];
        let response = post(daemon.address(), "/v1/run/tally", &headers, body.clone()).await;
        assert_eq!(response.code(), code.number(), "{fault:?}");
    }
    daemon.stop().await;
}

#[tokio::test]
async fn stop_drains_open_requests() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = daemon(&folder).await;
    let host = daemon.address();
    let _target = target("a", host, Fault::None).await;
    wait_until_served(host).await;
    let calls: Vec<_> = (0..8)
        .map(|i| {
            tokio::spawn(async move {
                post(host, "/v1/run/scan", &[], TaskPayload::new(300.0, &i.to_string()).to_bytes()).await
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    daemon.stop().await;
    for call in calls {
        assert_eq!(call.await.unwrap().outcome(), "answered");
    }
}

/// Guards against a target that gets no more work because a leave of its earlier incarnation was delayed on its way.
#[tokio::test]
async fn leave_of_an_earlier_incarnation_leaves_the_target_in_use() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = daemon(&folder).await;
    let target = target("a", daemon.address(), Fault::None).await;
    wait_until_served(daemon.address()).await;
    let run = || {
        post(daemon.address(), "/v1/run/scan", &[("mangogw-deadline-ms", "500")], TaskPayload::new(1.0, "x").to_bytes())
    };
    let late = post(daemon.address(), "/v1/targets/a/leave?zone=zone-1&incarnation=1", &[], Bytes::new()).await;
    assert_eq!((late.status, run().await.outcome()), (200, "answered"));
    let odd = post(daemon.address(), "/v1/targets/a/leave?zone=zone-1&incarnation=x", &[], Bytes::new()).await;
    assert_eq!((odd.status, odd.code()), (400, Code::BadRequest.number()));
    assert_eq!(run().await.outcome(), "answered");
    target.leave().await.unwrap();
    assert_ne!(run().await.outcome(), "answered", "its own leave counts");
    daemon.stop().await;
}
