//! Operators' commands against a daemon over loopback.

use bytes::Bytes;
use http::Method;
use mangogw::client::{Client, Response};
use mangogw::command;
use mangogwd::server::Daemon;
use mangogwd::settings::Settings;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const CATALOGUE: &str = "[owners.gates]\n[owners.tally]\n[entries.scan]\nowner = \"gates\"\n";

/// A daemon that is a control group of its own, and an administrator in front of it.
struct Bench {
    folder: tempfile::TempDir,
    daemon: Daemon,
}

impl Bench {
    async fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("first.toml");
        std::fs::write(&path, CATALOGUE).unwrap();
        let args = ["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--notice-ms", "50", "--catalogue"];
        let args = args.into_iter().chain([path.to_str().unwrap()]);
        let daemon = Daemon::bind(&Settings::parse(args, &|_| None).unwrap()).await.unwrap();
        while daemon.node().with_host(|host, now| host.status_view(now).catalogue.0) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        std::fs::write(folder.path().join("token"), daemon.token().unwrap().to_text()).unwrap();
        Self { folder, daemon }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write(&self, name: &str, text: &str) -> String {
        std::fs::write(self.file(name), text).unwrap();
        self.file(name).to_str().unwrap().to_owned()
    }

    /// Runs a command of the administrator; the error is what a person would read.
    async fn run(&self, words: &[&str]) -> Result<(), String> {
        let host = self.daemon.address().to_string();
        let token = self.file("token");
        let flags = ["--host", &host, "--token-file", token.to_str().unwrap()];
        let args: Vec<String> = words.iter().chain(&flags).map(ToString::to_string).collect();
        command::run(&args, &|_| None).await.map(|_| ()).map_err(|error| error.to_string())
    }

    async fn get(&self, path: &str) -> Response {
        let bearer = format!("Bearer {}", self.daemon.token().unwrap().to_text());
        let headers = [("authorization", bearer.as_str()), ("accept", "application/toml")];
        Client::default().call(self.daemon.address(), Method::GET, path, &headers, Bytes::new()).await.unwrap()
    }

    async fn text(&self, path: &str) -> String {
        String::from_utf8(self.get(path).await.body.to_vec()).unwrap()
    }
}

#[tokio::test]
async fn a_file_is_applied_once_and_rolled_back() {
    let bench = Bench::new().await;
    let text = bench.text("/v1/catalogue").await;
    assert!(text.starts_with("version = 1\n"), "{text}");
    let file = bench.write("next.toml", &(text.clone() + "[entries.recount]\nowner = \"tally\"\n"));
    bench.run(&["catalogue", "check", &file]).await.unwrap();
    bench.run(&["catalogue", "diff", &file]).await.unwrap();
    bench.run(&["catalogue", "apply", &file]).await.unwrap();
    let lost = bench.run(&["catalogue", "apply", &file]).await.unwrap_err();
    assert!(lost.contains("1403"), "{lost}");
    let served = bench.daemon.node().with_host(|host, now| host.status_view(now).catalogue.0);
    assert_eq!(served, 2, "the host serves by the new version");
    bench.run(&["catalogue", "rollback", "1"]).await.unwrap();
    assert_eq!(bench.text("/v1/catalogue").await, text.replace("version = 1", "version = 3"));
    bench.run(&["catalogue", "history"]).await.unwrap();
    bench.daemon.stop().await;
}

#[tokio::test]
async fn a_broken_file_names_every_fault_before_anything_is_sent() {
    let bench = Bench::new().await;
    let file = bench.write("bad.toml", "[owners.gates]\n[entries.a]\nowner = \"gates\"\nshape = 1\ndeadline_ms = 0\n");
    let error = bench.run(&["catalogue", "apply", &file]).await.unwrap_err();
    assert!(error.contains("line 4, column 1: entries.a.shape"), "{error}");
    assert!(error.contains("line 5, column 15: entries.a.deadline_ms"), "{error}");
    assert!(bench.run(&["catalogue", "burn"]).await.unwrap_err().contains("get|check FILE"));
    bench.daemon.stop().await;
}

#[tokio::test]
async fn a_shift_closes_the_catalogue_and_the_trail_tells_of_it() {
    let bench = Bench::new().await;
    let entry = bench.write("entry.toml", "owner = \"gates\"\nclass = \"urgent\"\n");
    bench.run(&["shift", "open"]).await.unwrap();
    let closed = bench.run(&["catalogue", "put", "scan", &entry]).await.unwrap_err();
    assert!(closed.contains("1402"), "{closed}");
    bench.run(&["shift", "close"]).await.unwrap();
    bench.run(&["catalogue", "put", "scan", &entry]).await.unwrap();
    bench.run(&["catalogue", "delete", "scan"]).await.unwrap();
    bench.run(&["audit", "--refused"]).await.unwrap();
    let trail = bench.text("/v1/audit").await;
    let export = bench.write("audit.jsonl", &trail);
    bench.run(&["audit", "verify", &export]).await.unwrap();
    assert!(trail.contains("\"from\":\"127.0.0.1:"), "{trail}");
    let edited = bench.write("edited.jsonl", &trail.replace("urgent", "normal"));
    assert!(bench.run(&["audit", "verify", &edited]).await.unwrap_err().contains("was changed"));
    bench.daemon.stop().await;
}

#[tokio::test]
async fn tokens_are_issued_and_a_stranger_gets_nowhere() {
    let bench = Bench::new().await;
    bench.run(&["token", "issue", "--name", "gates-desk", "--role", "team:gates"]).await.unwrap();
    bench.run(&["token", "list"]).await.unwrap();
    assert!(bench.text("/v1/tokens").await.contains("gates-desk"));
    let bad = bench.run(&["token", "issue", "--name", "x", "--role", "king"]).await.unwrap_err();
    assert!(bad.contains("team:OWNER"), "{bad}");
    bench.write("token", "mgw_00000000000000000000000000000000_00");
    let stranger = bench.run(&["catalogue", "get"]).await.unwrap_err();
    assert!(stranger.contains("1400"), "{stranger}");
    bench.daemon.stop().await;
}

#[tokio::test]
async fn a_flood_of_strangers_leaves_few_records() {
    let bench = Bench::new().await;
    let started = Instant::now();
    let client = Client::default();
    for _ in 0..300 {
        let call = client.call(bench.daemon.address(), Method::DELETE, "/v1/catalogue/scan", &[], Bytes::new());
        assert_eq!(call.await.unwrap().status, 401);
    }
    let trail = bench.text("/v1/audit?who=nobody").await;
    let most = 60 + 1 + started.elapsed().as_secs() as usize;
    let records = trail.lines().count();
    assert!((60..=most).contains(&records), "{records} records, at most {most} expected");
    bench.daemon.stop().await;
}
