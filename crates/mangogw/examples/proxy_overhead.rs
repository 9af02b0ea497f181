//! What a host adds to a request: the same load through a bare pass-through and through a daemon, to the same target.
//!
//! `cargo run --release -p mangogw --example proxy_overhead`

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use mangogw::client::Client;
use mangogw::load::Quantiles;
use mangogw::target::{Fault, Target, TargetSettings, TaskPayload};
use mangogw_model::{Capacity, Kind};
use mangogw_wire::header;
use mangogwd::server::Daemon;
use mangogwd::settings::Settings;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

const CATALOGUE: &str = "[owners.a]\n[entries.e]\nowner = \"a\"\nclass = \"urgent\"\nrepeatable = true\n";
const RUN_TIME: Duration = Duration::from_secs(4);
const ROUNDS: usize = 3;

#[tokio::main]
async fn main() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("catalogue.toml");
    std::fs::write(&file, CATALOGUE).expect("a file");
    let file = file.display().to_string();
    let args = ["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--catalogue", &file];
    let settings = Settings::parse(args, &|_| None).expect("settings");
    let daemon = Daemon::bind(&settings).await.expect("a daemon");
    let target = Target::bind(SocketAddr::from(([127, 0, 0, 1], 0)), target(daemon.address())).await.expect("a target");
    let bare = pass_through(target.address()).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    for clients in [1, 8, 64] {
        for _ in 0..ROUNDS {
            let (rate, through) = load(bare, "/v1/tasks/1-1-1", clients).await;
            println!("{clients:3} clients  pass-through  {rate:8.0}/s  ms {through}");
            let (rate, through) = load(daemon.address(), "/v1/run/e", clients).await;
            println!("{clients:3} clients  mangogwd      {rate:8.0}/s  ms {through}");
        }
    }
}

fn target(host: SocketAddr) -> TargetSettings {
    TargetSettings {
        name: "t".into(),
        zone: "zone-1".into(),
        rack: "".into(),
        kind: Kind::Executor,
        entries: vec!["e".into()],
        capacity: Capacity { slots: 256, ..Capacity::default() },
        speed: 1.0,
        fault: Fault::None,
        hosts: vec![host],
    }
}

/// A server that hands each request to the target and its answer back, and nothing else.
async fn pass_through(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = Client::default();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            drop(stream.set_nodelay(true));
            let client = client.clone();
            let service = service_fn(move |request| forward(client.clone(), to, request));
            tokio::spawn(async move {
                let builder = auto::Builder::new(TokioExecutor::new());
                drop(builder.serve_connection(TokioIo::new(stream), service).await);
            });
        }
    });
    address
}

async fn forward(
    client: Client,
    to: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    let headers = [(header::ATTEMPT, "1-1-1")];
    let answer = client.call(to, Method::POST, &path, &headers, body).await;
    Ok(Response::new(Full::new(answer.map(|answer| answer.body).unwrap_or_default())))
}

/// Closed loops of `clients`; requests a second, and response times in milliseconds.
async fn load(host: SocketAddr, path: &'static str, clients: usize) -> (f64, Quantiles) {
    let client = Client::default();
    let begun = Instant::now();
    let mut loops = JoinSet::new();
    for _ in 0..clients {
        let client = client.clone();
        loops.spawn(async move {
            let mut times = Vec::new();
            while begun.elapsed() < RUN_TIME {
                let sent = Instant::now();
                let body = TaskPayload::new(0.0, "through").to_bytes();
                let answer = client.call(host, Method::POST, path, &[], body.clone()).await.expect("an answer");
                assert_eq!(answer.body, body, "code {}", answer.code());
                times.push(sent.elapsed().as_secs_f64() * 1e3);
            }
            times
        });
    }
    let times: Vec<f64> = loops.join_all().await.into_iter().flatten().collect();
    (times.len() as f64 / begun.elapsed().as_secs_f64(), Quantiles::from_samples(&times))
}
