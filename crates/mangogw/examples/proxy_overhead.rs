//! Measures the overhead of a host: sends the same load to one target through a plain proxy and through a daemon.
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
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let file = folder.path().join("catalogue.toml");
    std::fs::write(&file, CATALOGUE).expect("write the catalogue file");
    let file = file.display().to_string();
    let args = ["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--catalogue", &file];
    let settings = Settings::parse(args, &|_| None).expect("parse the settings of the daemon");
    let daemon = Daemon::bind(&settings).await.expect("start the daemon");
    let target =
        Target::bind(SocketAddr::from(([127, 0, 0, 1], 0)), target(daemon.address())).await.expect("start the target");
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

/// Starts a plain proxy that forwards each request to the target and returns the answer.
async fn pass_through(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port for the proxy");
    let address = listener.local_addr().expect("read the address of the proxy");
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

/// Runs `clients` closed loops; returns the requests per second and the response times in milliseconds.
async fn load(host: SocketAddr, path: &'static str, clients: usize) -> (f64, Quantiles) {
    let client = Client::default();
    let started = Instant::now();
    let mut loops = JoinSet::new();
    for _ in 0..clients {
        let client = client.clone();
        loops.spawn(async move {
            let mut times = Vec::new();
            while started.elapsed() < RUN_TIME {
                let sent = Instant::now();
                let body = TaskPayload::new(0.0, "through").to_bytes();
                let answer = client
                    .call(host, Method::POST, path, &[], body.clone())
                    .await
                    .expect("the host answers the request");
                assert_eq!(answer.body, body, "code {}", answer.code());
                times.push(sent.elapsed().as_secs_f64() * 1e3);
            }
            times
        });
    }
    let times: Vec<f64> = loops.join_all().await.into_iter().flatten().collect();
    (times.len() as f64 / started.elapsed().as_secs_f64(), Quantiles::from_samples(&times))
}
