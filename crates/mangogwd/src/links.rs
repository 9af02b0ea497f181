//! Links to other hosts: one stream of frames to each, renewed when it breaks or goes silent.

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
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::transport::{Endpoint, Error, Server};
use tonic::{Request, Response, Status, Streaming};

/// Frames that wait for one host; what comes on top is dropped, as a network would.
const QUEUE_FRAMES: usize = 4096;
/// Between pings on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// How long a ping may stay unanswered before the connection is dropped.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Between a broken connection and the next try.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Who a host is to the others.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The cluster it belongs to.
    pub cluster: String,
    /// Its id.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Takes the frames that come in.
pub trait Inbox: Send + Sync + 'static {
    /// Takes one frame; it must not block.
    fn receive(&self, from: HostId, incarnation: Incarnation, body: &[u8]);
}

/// Frames and bytes since the start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Frames sent.
    pub sent: AtomicU64,
    /// Bytes of message bodies sent.
    pub bytes: AtomicU64,
    /// Frames dropped because a host could not be reached.
    pub dropped: AtomicU64,
    /// Frames refused: another cluster or an unreadable version.
    pub refused: AtomicU64,
}

/// Links to every host that was sent to.
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
    /// Links of a host that has sent nothing yet.
    pub fn new(identity: Identity) -> Self {
        Self { identity, peers: Mutex::default(), counts: Arc::default() }
    }

    /// Frames and bytes since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Sends a message body to the host at `address`. It may be lost; it is never sent twice.
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

    /// Drops the connection to `address`; the next frame goes over a new one.
    pub fn reconnect(&self, address: SocketAddr) {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner).swap_remove(&address);
    }

    fn open(&self, address: SocketAddr) -> PeerLink {
        let (queue, waiting) = mpsc::channel(QUEUE_FRAMES);
        let task = tokio::spawn(run(address, waiting, Arc::clone(&self.counts))).abort_handle();
        PeerLink { queue, task }
    }
}

/// Keeps a connection to one host and sends it what waits. Frames of a connection that broke are lost.
async fn run(address: SocketAddr, mut waiting: mpsc::Receiver<Frame>, counts: Arc<Counts>) {
    let Ok(endpoint) = Endpoint::from_shared(format!("http://{address}")) else { return };
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true);
    while let Some(first) = waiting.recv().await {
        match endpoint.connect().await {
            Ok(channel) => waiting = send_frames(LinkClient::new(channel), first, waiting).await,
            Err(error) => {
                log::debug!(address:%, error:%; "links: no connection");
                let mut lost = 1;
                while waiting.try_recv().is_ok() {
                    lost += 1;
                }
                counts.dropped.fetch_add(lost, Ordering::Relaxed);
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Sends frames over one connection until it breaks, and gives the queue back.
async fn send_frames(
    mut client: LinkClient<tonic::transport::Channel>,
    first: Frame,
    mut waiting: mpsc::Receiver<Frame>,
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
                    log::debug!(status:%; "links: stream ended");
                }
                return waiting;
            }
            sent = forward_frame(&sender, &mut next, &mut waiting) => if !sent { return waiting },
        }
    }
}

/// Passes one frame on. False if the queue or the stream is closed.
async fn forward_frame(
    sender: &mpsc::Sender<Frame>,
    next: &mut Option<Frame>,
    waiting: &mut mpsc::Receiver<Frame>,
) -> bool {
    let frame = match next.take() {
        Some(frame) => Some(frame),
        None => waiting.recv().await,
    };
    match frame {
        Some(frame) => sender.send(frame).await.is_ok(),
        None => false,
    }
}

/// The receiving side.
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
        let mut taken = 0;
        while let Some(frame) = stream.message().await? {
            if frame.cluster != self.cluster || !frame.is_readable_by(PROTOCOL_VERSION) {
                self.counts.refused.fetch_add(1, Ordering::Relaxed);
                log::warn!(host = frame.from.0, version = frame.version; "links: frame refused");
                return Err(Status::permission_denied("another cluster or an unreadable version"));
            }
            taken += 1;
            self.inbox.receive(frame.from, frame.incarnation, &frame.body);
        }
        Ok(Response::new(Receipt { accepted: taken }))
    }
}

/// Takes frames from other hosts on `listener` until the handle is aborted.
pub fn spawn<I: Inbox>(listener: TcpListener, links: &Links, inbox: Arc<I>) -> JoinHandle<Result<(), Error>> {
    let cluster = links.identity.cluster.clone();
    let link_service = LinkService { cluster, inbox, counts: Arc::clone(&links.counts) };
    let service = LinkServer::new(link_service).max_decoding_message_size(MAX_FRAME_BYTES);
    let server = Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT));
    tokio::spawn(async move { server.serve_with_incoming(service, TcpListenerStream::new(listener)).await })
}
