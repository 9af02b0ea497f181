//! Links to other hosts: one stream of frames to each host, reopened when it breaks or pings stay unanswered.

use crate::budget::Callers;
use crate::gate::{Gate, Metered};
use indexmap::IndexMap;
use mangogw_model::{HostId, Incarnation};
use mangogw_wire::link::{Frame, MAX_FRAME_BYTES, PROTOCOL_VERSION, Receipt};
use mangogw_wire::link_client::LinkClient;
use mangogw_wire::link_server::{Link, LinkServer};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::task::{AbortHandle, JoinHandle};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Endpoint, Error, Server};
use tonic::{Request, Response, Status, Streaming};

/// Most frames queued for one host; further frames are dropped, as a network would drop them.
const QUEUE_FRAMES: usize = 4096;
/// Time between two pings on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a connection with an unanswered ping is dropped.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between a failed connection attempt and the next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Identity of a host, sent with each frame.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Cluster that the host belongs to; frames of other clusters are refused.
    pub cluster: String,
    /// Id of the host.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
}

/// Receives the frames that arrive from other hosts.
pub trait Inbox: Send + Sync + 'static {
    /// Receives the body of one frame from the host `from`; must not block.
    fn receive(&self, from: HostId, incarnation: Incarnation, body: &[u8]);
}

/// Counts of frames and bytes since the start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Frames queued for sending.
    pub sent: AtomicU64,
    /// Bytes of the message bodies in those frames.
    pub bytes: AtomicU64,
    /// Frames dropped because the queue was full or the host could not be reached.
    pub dropped: AtomicU64,
    /// Frames refused because they are of another cluster or of a protocol version that can't be read.
    pub refused: AtomicU64,
}

/// Links to the hosts that messages were sent to.
#[derive(Debug)]
pub struct Links {
    identity: Identity,
    peers: Mutex<IndexMap<SocketAddr, PeerLink>>,
    counts: Arc<Counts>,
}

#[derive(Debug)]
struct PeerLink {
    queue: mpsc::Sender<Frame>,
    task: AbortHandle,
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Links {
    /// Returns the links of a host that has not sent anything yet.
    pub fn new(identity: Identity) -> Self {
        Self { identity, peers: Mutex::default(), counts: Arc::default() }
    }

    /// Returns the counts of frames and bytes since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Sends a message body to the host at `address` at most once; it may be lost.
    pub fn send(&self, address: SocketAddr, body: Vec<u8>) {
        let size = body.len() as u64;
        let Identity { cluster, host, incarnation } = self.identity.clone();
        let frame = Frame { version: PROTOCOL_VERSION, cluster, from: host, incarnation, body };
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let peer = peers.entry(address).or_insert_with(|| self.open(address));
        match peer.queue.try_send(frame) {
            Ok(()) => {
                self.counts.sent.fetch_add(1, Ordering::Relaxed);
                self.counts.bytes.fetch_add(size, Ordering::Relaxed);
            }
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Drops the connection to `address` and its queue; the next frame opens a new connection.
    pub fn reconnect(&self, address: SocketAddr) {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&address);
    }

    fn open(&self, address: SocketAddr) -> PeerLink {
        let (queue, queued) = mpsc::channel(QUEUE_FRAMES);
        let task = tokio::spawn(run(address, queued, Arc::clone(&self.counts))).abort_handle();
        PeerLink { queue, task }
    }
}

/// Connects to one host and sends it the queued frames, again after each break. Frames in flight on a connection that
/// breaks are lost; so are all queued frames if the host can't be reached.
async fn run(address: SocketAddr, mut queued: mpsc::Receiver<Frame>, counts: Arc<Counts>) {
    let Ok(endpoint) = Endpoint::from_shared(format!("http://{address}")) else { return };
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true);
    while let Some(first) = queued.recv().await {
        match endpoint.connect().await {
            Ok(channel) => queued = send_frames(LinkClient::new(channel), first, queued).await,
            Err(error) => {
                log::debug!(address:%, error:%; "links: failed to connect; queued messages are dropped");
                let mut dropped = 1;
                while queued.try_recv().is_ok() {
                    dropped += 1;
                }
                counts.dropped.fetch_add(dropped, Ordering::Relaxed);
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Sends frames over one connection until it breaks; returns the queue.
async fn send_frames(
    mut client: LinkClient<tonic::transport::Channel>,
    first: Frame,
    mut queued: mpsc::Receiver<Frame>,
) -> mpsc::Receiver<Frame> {
    let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
    let stream = Request::new(ReceiverStream::new(receiver));
    let call = client.carry(stream);
    tokio::pin!(call);
    let mut next = Some(first);
    loop {
        tokio::select! {
            ended = &mut call => {
                if let Err(status) = ended {
                    log::debug!(status:%; "links: stream to another host ended with an error");
                }
                return queued;
            }
            forwarded = forward_frame(&sender, &mut next, &mut queued) => if !forwarded { return queued },
        }
    }
}

/// Moves one frame from the queue to the stream; returns false if either is closed.
async fn forward_frame(
    sender: &mpsc::Sender<Frame>,
    next: &mut Option<Frame>,
    queued: &mut mpsc::Receiver<Frame>,
) -> bool {
    let frame = match next.take() {
        Some(frame) => Some(frame),
        None => queued.recv().await,
    };
    match frame {
        Some(frame) => sender.send(frame).await.is_ok(),
        None => false,
    }
}

/// Receiving side of the links.
#[derive(Debug)]
struct LinkService<I> {
    cluster: String,
    inbox: Arc<I>,
    counts: Arc<Counts>,
}

#[tonic::async_trait]
impl<I: Inbox> Link for LinkService<I> {
    async fn carry(&self, request: Request<Streaming<Frame>>) -> Result<Response<Receipt>, Status> {
        let mut stream = request.into_inner();
        let mut accepted = 0;
        while let Some(frame) = stream.message().await? {
            if frame.cluster != self.cluster || !frame.is_readable_by(PROTOCOL_VERSION) {
                self.counts.refused.fetch_add(1, Ordering::Relaxed);
                log::warn!(host = frame.from.0, version = frame.version; "links: refused a frame of another cluster or protocol version");
                return Err(Status::permission_denied("another cluster or an unreadable version"));
            }
            accepted += 1;
            self.inbox.receive(frame.from, frame.incarnation, &frame.body);
        }
        Ok(Response::new(Receipt { accepted }))
    }
}

/// Receives frames from other hosts on `listener`, for which `gate` keeps room, and passes them to `inbox` until the
/// returned handle is aborted.
pub fn spawn<I: Inbox>(
    listener: TcpListener,
    links: &Links,
    inbox: Arc<I>,
    gate: Arc<Gate>,
) -> JoinHandle<Result<(), Error>> {
    let cluster = links.identity.cluster.clone();
    let link_service = LinkService { cluster, inbox, counts: Arc::clone(&links.counts) };
    let service = LinkServer::new(link_service).max_decoding_message_size(MAX_FRAME_BYTES);
    let server = Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT));
    let incoming = futures_util::stream::unfold((listener, gate), |(listener, gate)| async move {
        let stream = accept(&listener, &gate).await;
        Some((Ok::<_, std::io::Error>(stream), (listener, gate)))
    });
    tokio::spawn(async move { server.serve_with_incoming(service, incoming).await })
}

/// Accepts the next connection for which there is room.
async fn accept(listener: &TcpListener, gate: &Arc<Gate>) -> Metered {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(ticket) = gate.admit(Callers::Hosts).await {
                    return Metered::new(stream, ticket).closing_itself();
                }
            }
            Err(error) => {
                log::warn!(error:%; "links: accepting a connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
