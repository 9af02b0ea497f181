//! Starts and stops the daemon: opens its listeners and data folder, serves HTTP, and drains before it ends.

use crate::api::Api;
use crate::budget::{Callers, Limits};
use crate::disk::{self, BootstrapMode, OpenedFolder};
use crate::gate::{Gate, Metered, Ticket};
use crate::links;
use crate::node::{MessageReceiver, Node};
use crate::pipeline::Pipeline;
use crate::settings::Settings;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use mangogw_catalogue::{Action, Catalogue, Role, Token};
use mangogw_model::{HostId, Incarnation};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{AbortHandle, JoinHandle};

/// Size of the largest request head that is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Requests that are open at once on one HTTP/2 connection, and bytes of their bodies that may wait unread.
const MAX_STREAMS: u32 = 256;
const WINDOW_BYTES: u32 = 128 * 1024;
/// Validity of the first administrator's token.
const TOKEN_VALIDITY_MS: u64 = 365 * 24 * 3_600_000;
/// Time for the last messages to other hosts to be sent before the process ends.
const EXIT_DELAY: Duration = Duration::from_millis(50);
/// Time between two checks of whether work in flight has ended; also the pause after a failed accept.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reason why a daemon can't start.
#[derive(Debug, Snafu)]
pub enum BadStart {
    /// A listening address can't be bound.
    #[snafu(display("--{flag} {address}: {source}; choose a free port or stop the process that holds it"))]
    Listen {
        /// Flag that gave the address.
        flag: &'static str,
        /// Address that can't be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The data folder can't be used.
    #[snafu(display("{source}"))]
    Folder {
        /// Fault of the folder.
        source: crate::disk::BadFolder,
    },
    /// The operating system refused a thread or random numbers.
    #[snafu(display("the system refused: {source}"))]
    System {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The catalogue file can't be read.
    #[snafu(display("--catalogue {}: {source}", path.display()))]
    Read {
        /// Path of the catalogue file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The catalogue has faults.
    #[snafu(display("--catalogue {}:\n{source}", path.display()))]
    Faulty {
        /// Path of the catalogue file.
        path: PathBuf,
        /// All faults of the catalogue.
        source: mangogw_catalogue::Faults,
    },
}

/// Running daemon.
#[derive(Debug)]
pub struct Daemon {
    address: SocketAddr,
    peer_address: SocketAddr,
    token: Option<Token>,
    node: Arc<Node>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
}

impl Daemon {
    /// Binds the listening addresses, opens the data folder, reads the catalogue and serves.
    ///
    /// # Errors
    /// [`BadStart`], which names the fault and, where the user can act, the remedy.
    pub async fn bind(settings: &Settings) -> Result<Self, BadStart> {
        let catalogue = settings.catalogue.clone().map(read_catalogue).transpose()?;
        let (listener, address) = listen("listen", settings.listen).await?;
        let (peer_listener, peer_address) = listen("peer-listen", settings.peer_listen).await?;
        let opened = open_state(settings)?;
        let token = opened.as_ref().and_then(|opened| opened.token.clone());
        let bootstrap_actions = bootstrap_actions(catalogue.as_ref(), token.as_ref());
        let node_settings = host_settings(settings, address, peer_address);
        let (node, timer) =
            Node::spawn(node_settings, opened, &settings.cluster, bootstrap_actions).context(SystemSnafu)?;
        // The other half is for the read buffers of connections and what the allocator keeps for each thread.
        let (gate, stalls) = Gate::spawn(Limits::derive((settings.memory_mb << 20) / 2, settings.max_fds));
        let inbox = Arc::new(MessageReceiver(Arc::downgrade(&node)));
        let links = links::spawn(peer_listener, node.links(), inbox, Arc::clone(&gate));
        let api = Api {
            node: Arc::clone(&node),
            send_timeout: settings.send_timeout,
            networks: settings.networks.clone().into(),
            zone: settings.zone.clone(),
        };
        let (stop, stopped) = watch::channel(false);
        log::info!(address:%, peers_at:% = peer_address, zone:% = settings.zone, host = settings.host; "server: listening");
        let served = Arc::clone(&node);
        let tasks = [timer.abort_handle(), links.abort_handle(), stalls.abort_handle()];
        let serving = Serving {
            api,
            node: served,
            tasks,
            gate,
            stopped,
            notice_period: settings.notice_period,
            drain_timeout: settings.drain_timeout,
        };
        let serving = tokio::spawn(serving.run(listener, settings.max_requests));
        Ok(Self { address, peer_address, token, node, stop, serving })
    }

    /// Returns the address where callers, targets and operators connect.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address where other hosts connect.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the first administrator's token; `None` except on the host that founded the control group.
    pub const fn token(&self) -> Option<&Token> {
        self.token.as_ref()
    }

    /// Returns the node that runs the host.
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Stops taking traffic, waits for work in flight at most `--drain-ms`, and ends.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        if let Err(error) = self.serving.await {
            log::error!(error:%; "server: the serving task failed while the daemon was stopping");
        }
    }

    /// Ends at once without draining, as a crash would.
    pub fn kill(self) {
        self.serving.abort();
    }
}

async fn listen(flag: &'static str, requested: SocketAddr) -> Result<(TcpListener, SocketAddr), BadStart> {
    let listener = TcpListener::bind(requested).await.context(ListenSnafu { flag, address: requested })?;
    let address = listener.local_addr().context(ListenSnafu { flag, address: requested })?;
    Ok((listener, address))
}

fn read_catalogue(path: PathBuf) -> Result<Catalogue, BadStart> {
    let text = std::fs::read_to_string(&path).context(ReadSnafu { path: path.clone() })?;
    Catalogue::parse(&text).context(FaultySnafu { path })
}

/// Returns the state of a member of the control group, or `None` for a host that is not a member. A host without peers
/// founds a group of its own.
fn open_state(settings: &Settings) -> Result<Option<OpenedFolder>, BadStart> {
    let host = HostId(settings.host);
    let no_peers = settings.peers.is_empty();
    let bootstrap_mode =
        if no_peers || settings.found_group { BootstrapMode::NewGroup } else { BootstrapMode::JoinGroup };
    match &settings.data {
        Some(path) => disk::open(path, host, bootstrap_mode).context(FolderSnafu).map(Some),
        None if no_peers => {
            log::warn!(
                "server: neither --data nor --peers is set; the catalogue and its changes are kept in memory and lost at exit"
            );
            disk::in_memory(host).context(SystemSnafu).map(Some)
        }
        None => Ok(None),
    }
}

/// Returns the actions that the first member of a new control group applies first.
fn bootstrap_actions(catalogue: Option<&Catalogue>, token: Option<&Token>) -> Vec<Action> {
    let token = token.map(|token| Action::Issue {
        id: token.id(),
        hash: token.hash(),
        name: "admin".to_owned(),
        role: Role::Administrator,
        expires_ms: crate::clock::unix_millis() + TOKEN_VALIDITY_MS,
    });
    let catalogue = catalogue
        .map(|catalogue| Action::Apply { owners: catalogue.owners().clone(), entries: catalogue.entries().clone() });
    token.into_iter().chain(catalogue).collect()
}

fn host_settings(settings: &Settings, http: SocketAddr, address: SocketAddr) -> mangogw_host::Settings {
    let millis = crate::clock::unix_millis();
    mangogw_host::Settings {
        host: HostId(settings.host),
        incarnation: Incarnation(millis),
        zone: settings.zone.clone(),
        address,
        http,
        seeds: settings.peers.clone(),
        single_host: settings.peers.is_empty() && !settings.found_group,
        seed: millis ^ settings.host.rotate_left(32),
        wall_offset: millis,
        remote_delay: settings.remote_delay,
        ..mangogw_host::Settings::default()
    }
}

#[derive(Debug)]
struct Serving {
    api: Api,
    node: Arc<Node>,
    tasks: [AbortHandle; 3],
    gate: Arc<Gate>,
    stopped: watch::Receiver<bool>,
    notice_period: Duration,
    drain_timeout: Duration,
}

impl Serving {
    async fn run(mut self, listener: TcpListener, max_requests: usize) {
        let connections = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(max_requests));
        let mut stopping = self.stopped.clone();
        let mut halted = self.node.halted();
        let (node, notice_period) = (Arc::clone(&self.node), self.notice_period);
        let notice_ended = async move {
            // A watch fails if its sender was dropped; the daemon stops then as well.
            tokio::select! {
                _ = stopping.wait_for(|stop| *stop) => {}
                _ = halted.wait_for(|halted| *halted) => {}
            }
            log::info!("server: stopping; reports not ready and still accepts connections");
            node.set_closing();
            tokio::time::sleep(notice_period).await;
        };
        tokio::pin!(notice_ended);
        loop {
            tokio::select! {
                () = &mut notice_ended => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, peer)) => match self.gate.admit(Callers::Clients).await {
                        Some(ticket) => {
                            let pipeline = Pipeline::new(self.api.clone(), Arc::clone(&permits), peer, Arc::clone(&ticket));
                            serve(stream, ticket, pipeline, &connections);
                        }
                        // The caller connects again; nothing of it was read.
                        None => drop(stream),
                    },
                    Err(error) => {
                        log::warn!(error:%; "server: failed to accept a connection; accepting goes on after a pause");
                        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
                    }
                },
            }
        }
        drop(listener);
        self.finish(connections).await;
    }

    async fn finish(&mut self, connections: GracefulShutdown) {
        log::info!("server: no longer accepting connections; draining work in flight");
        self.node.drain();
        let idle = async {
            connections.shutdown().await;
            while !self.node.is_idle() {
                tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(self.drain_timeout, idle).await.is_err() {
            log::warn!(drain_ms = self.drain_timeout.as_millis() as u64; "server: drain timed out; work in flight was cut off");
        }
        self.node.exit();
        tokio::time::sleep(EXIT_DELAY).await;
        log::info!("server: stopped serving");
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

fn serve(stream: TcpStream, ticket: Arc<Ticket>, pipeline: Pipeline, connections: &GracefulShutdown) {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(Duration::from_secs(10)).max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEAD_BYTES as u32)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_connection_window_size(WINDOW_BYTES)
        .initial_stream_window_size(WINDOW_BYTES);
    let service = TowerToHyperService::new(pipeline);
    let stream = TokioIo::new(Metered::new(stream, Arc::clone(&ticket)));
    let connection = builder.serve_connection(stream, service).into_owned();
    let connection = connections.watch(connection);
    drop(tokio::spawn(async move {
        tokio::select! {
            biased;
            () = ticket.closed() => {}
            ended = connection => {
                if let Err(error) = ended {
                    log::debug!(error:%; "server: client connection ended with an error");
                }
            }
        }
    }));
}
