//! The daemon as a whole: listening, serving and stopping.

use crate::api::Api;
use crate::node::Node;
use crate::settings::Settings;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use mangogw_catalogue::Catalogue;
use mangogw_model::{HostId, Incarnation};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes of the largest request head.
const MAX_HEAD: usize = 64 * 1024;
/// Between two looks at whether work in flight has ended.
const LOOK: Duration = Duration::from_millis(10);

/// Why a daemon can't start.
#[derive(Debug, Snafu)]
pub enum BadStart {
    /// The listening address can't be had.
    #[snafu(display("--listen {address}: {source}; choose a free port or stop the process that holds it"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The catalogue file can't be read.
    #[snafu(display("--catalogue {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The catalogue has faults.
    #[snafu(display("--catalogue {}:\n{source}", path.display()))]
    Faulty {
        /// The file.
        path: PathBuf,
        /// Every fault.
        source: mangogw_catalogue::Faults,
    },
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

impl Daemon {
    /// Binds the listening address, reads the catalogue and serves.
    ///
    /// # Errors
    /// [`BadStart`], which says what is wrong and what to do.
    pub async fn bind(settings: &Settings) -> Result<Self, BadStart> {
        let catalogue = settings.catalogue.clone().map(read_catalogue).transpose()?;
        let listener = TcpListener::bind(settings.listen).await;
        let listener = listener.context(ListenSnafu { address: settings.listen })?;
        let address = listener.local_addr().context(ListenSnafu { address: settings.listen })?;
        let (node, timer) = Node::spawn(host_settings(settings));
        if let Some(catalogue) = catalogue {
            node.install(&catalogue);
        }
        let api = Api { node: Arc::clone(&node), send: settings.send, networks: settings.networks.clone().into() };
        let (stop, stopped) = watch::channel(false);
        log::info!(address:%, zone:% = settings.zone; "server: listening");
        let serving = Serving { api, node, timer, stopped, notice: settings.notice, drain: settings.drain };
        let serving = tokio::spawn(serving.run(listener, settings.requests));
        Ok(Self { address, stop, serving })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops taking traffic, waits for what is in flight, and ends.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        if let Err(error) = self.serving.await {
            log::error!(error:%; "server: ended badly");
        }
    }

    /// Ends at once, as a crash would.
    pub fn kill(self) {
        self.serving.abort();
    }
}

fn read_catalogue(path: PathBuf) -> Result<Catalogue, BadStart> {
    let text = std::fs::read_to_string(&path).context(ReadSnafu { path: path.clone() })?;
    Catalogue::parse(&text).context(FaultySnafu { path })
}

fn host_settings(settings: &Settings) -> mangogw_host::Settings {
    let millis = crate::clock::unix_millis();
    mangogw_host::Settings {
        host: HostId(settings.host),
        incarnation: Incarnation(millis),
        zone: settings.zone.clone(),
        seed: millis ^ settings.host,
        lease: settings.lease,
    }
}

#[derive(Debug)]
struct Serving {
    api: Api,
    node: Arc<Node>,
    timer: JoinHandle<()>,
    stopped: watch::Receiver<bool>,
    notice: Duration,
    drain: Duration,
}

impl Serving {
    async fn run(mut self, listener: TcpListener, requests: usize) {
        let open = GracefulShutdown::new();
        let pipeline = crate::pipeline::Pipeline::new(self.api.clone(), requests);
        let mut ending = self.stopped.clone();
        let (node, notice) = (Arc::clone(&self.node), self.notice);
        let until = async move {
            // An error means that the handle is gone: stop as well.
            drop(ending.wait_for(|stop| *stop).await);
            log::info!("server: not ready, still accepting");
            node.set_ready(false);
            tokio::time::sleep(notice).await;
        };
        tokio::pin!(until);
        loop {
            tokio::select! {
                () = &mut until => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => serve(stream, &pipeline, &open),
                    Err(error) => {
                        log::warn!(error:%; "server: accept failed");
                        tokio::time::sleep(LOOK).await;
                    }
                },
            }
        }
        drop(listener);
        self.finish(open).await;
    }

    async fn finish(&mut self, open: GracefulShutdown) {
        log::info!("server: draining");
        self.node.drain();
        let idle = async {
            open.shutdown().await;
            while !self.node.is_idle() {
                tokio::time::sleep(LOOK).await;
            }
        };
        if tokio::time::timeout(self.drain, idle).await.is_err() {
            log::warn!(drain_ms = self.drain.as_millis() as u64; "server: work in flight was cut at the longest wait");
        }
        self.timer.abort();
        log::info!("server: stopped");
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

fn serve(stream: TcpStream, pipeline: &crate::pipeline::Pipeline, open: &GracefulShutdown) {
    // Without this an answer may wait for a delayed acknowledgement; a closed socket shows at the first read.
    drop(stream.set_nodelay(true));
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(Duration::from_secs(10)).max_buf_size(MAX_HEAD);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(MAX_HEAD as u32);
    let service = TowerToHyperService::new(pipeline.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let connection = open.watch(connection);
    drop(tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:%; "server: connection ended");
        }
    }));
}
