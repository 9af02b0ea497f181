//! Applies the [`Budget`] of a process to its connections: takes room, closes those that must give way, and counts what
//! is read and written.

use crate::budget::{Budget, Callers, HolderId, Limits, Verdict, View};
use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use indexmap::IndexMap;
use mangogw_model::Time;
use snafu::{Snafu, ensure};
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::futures::OwnedNotified;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Interval at which connections without progress are looked for.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which refusals are logged at most.
const LOG_INTERVAL: u32 = 10;
/// Size of the send buffer of a socket. The system doubles it.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Size of the parts in which a body that does not arrive at once is kept, so that it takes memory as it arrives.
const PART_BYTES: usize = 16 * 1024;

/// Reason why a body was not read.
#[derive(Debug, Snafu)]
pub enum BadBody {
    /// It is larger than allowed.
    #[snafu(display("the limit of a body is {max} bytes"))]
    TooLarge {
        /// Most bytes.
        max: usize,
    },
    /// This host has no room for it now.
    #[snafu(display("this host has no room for the body now"))]
    NoRoom,
    /// The body has not arrived before this host shuts down.
    #[snafu(display("this host is shutting down"))]
    Stopping,
    /// The connection broke, or the body is malformed.
    #[snafu(display("{why}"))]
    Broken {
        /// Error of the connection.
        why: String,
    },
}

#[derive(Debug)]
struct State {
    budget: Budget,
    /// Notified when the connection must be closed.
    closers: IndexMap<HolderId, Arc<Notify>>,
}

/// Room that the connections of a process take.
#[derive(Debug)]
pub struct Gate {
    start: Instant,
    state: Mutex<State>,
    /// Notified after each connection that has ended.
    released: Notify,
    /// True once bodies that have not arrived are given up.
    stopping: watch::Sender<bool>,
}

impl Gate {
    /// Returns a gate through which nobody has come, and the task that closes connections without progress.
    pub fn spawn(limits: Limits) -> (Arc<Self>, JoinHandle<()>) {
        let state = State { budget: Budget::new(limits), closers: IndexMap::new() };
        let gate = Arc::new(Self {
            start: Instant::now(),
            state: Mutex::new(state),
            released: Notify::new(),
            stopping: watch::Sender::new(false),
        });
        let task = tokio::spawn(Arc::clone(&gate).close_stalled());
        (gate, task)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_budget<T>(&self, work: impl FnOnce(&mut Budget, Time) -> T) -> T {
        work(&mut self.lock().budget, Time::ZERO + self.start.elapsed())
    }

    /// Returns what is held, and what was refused.
    pub fn view(&self) -> View {
        self.with_budget(|budget, _| budget.view())
    }

    /// Gives up the bodies that have not arrived: reading them fails with [`BadBody::Stopping`].
    pub fn end_reads(&self) {
        self.stopping.send_replace(true);
    }

    /// Takes room for a connection, for which others are closed if need be; `None` if there is none.
    pub async fn admit(self: &Arc<Self>, callers: Callers) -> Option<Arc<Ticket>> {
        let id = self.take(|budget, now| budget.open(now, callers)).await?;
        let closer = Arc::new(Notify::new());
        self.lock().closers.insert(id, Arc::clone(&closer));
        Some(Arc::new(Ticket { gate: Arc::clone(self), callers, id, closer }))
    }

    /// Asks for room, again whenever a connection that must give way has ended.
    async fn take(&self, ask: impl Fn(&mut Budget, Time) -> Verdict) -> Option<HolderId> {
        loop {
            let mut released = pin!(self.released.notified());
            released.as_mut().enable();
            match self.with_budget(&ask) {
                Verdict::Granted(id) => return Some(id),
                Verdict::Refused => return None,
                Verdict::Close(victim) => self.close(victim),
                Verdict::Wait => {}
            }
            released.await;
        }
    }

    fn close(&self, id: HolderId) {
        if let Some(closer) = self.lock().closers.get(&id) {
            closer.notify_one();
        }
    }

    async fn close_stalled(self: Arc<Self>) {
        let mut logged = self.view().counts;
        for look in 1_u32.. {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
            for id in self.with_budget(Budget::stalled) {
                self.close(id);
            }
            let View { connections, bytes, counts, .. } = self.view();
            if counts != logged && look.is_multiple_of(LOG_INTERVAL) {
                log::warn!(
                    clients = connections[0], control = connections[1], probes = connections[2], hosts = connections[3],
                    bytes, refused = counts.refused, displaced = counts.displaced, stalled = counts.stalled,
                    unread = counts.unread; "serve: callers were refused, or closed without an answer"
                );
                logged = counts;
            }
        }
    }
}

/// An open connection. Its room is given back when the last reference is dropped.
#[derive(Debug)]
pub struct Ticket {
    gate: Arc<Gate>,
    callers: Callers,
    id: HolderId,
    closer: Arc<Notify>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.budget.close(self.id);
        state.closers.swap_remove(&self.id);
        drop(state);
        self.gate.released.notify_waiters();
    }
}

impl Ticket {
    /// Ends when the connection must be closed.
    pub async fn closed(&self) {
        self.closer.notified().await;
    }

    /// Charges the connection with `bytes` that it holds until the charge is dropped.
    pub fn charge(self: &Arc<Self>, bytes: usize) -> Charge {
        let victim = self.gate.with_budget(|budget, now| budget.charge(now, self.id, bytes));
        if let Some(victim) = victim {
            self.gate.close(victim);
        }
        Charge { ticket: Arc::clone(self), bytes }
    }

    /// Notes that the caller waits for this host until the returned guard is dropped.
    pub fn work(self: &Arc<Self>) -> Work {
        self.gate.with_budget(|budget, now| budget.begin(now, self.id));
        Work(Arc::clone(self))
    }

    fn moved(&self, bytes: usize) {
        self.gate.with_budget(|budget, now| budget.moved(now, self.id, bytes));
    }

    /// Reads a body of at most `max` bytes, and takes room for it as it arrives.
    ///
    /// # Errors
    /// [`BadBody`]; a body whose announced length is over the limit is not read at all.
    pub async fn read<B>(self: &Arc<Self>, body: B, max: usize) -> Result<(Bytes, Charge), BadBody>
    where
        B: Body<Data = Bytes>,
        B::Error: std::fmt::Display,
    {
        let mut stopping = self.gate.stopping.subscribe();
        tokio::select! {
            biased;
            read = self.read_whole(body, max) => read,
            // The watch fails only if the gate, which this ticket holds, were dropped.
            _ = stopping.wait_for(|stopping| *stopping) => StoppingSnafu.fail(),
        }
    }

    async fn read_whole<B>(self: &Arc<Self>, body: B, max: usize) -> Result<(Bytes, Charge), BadBody>
    where
        B: Body<Data = Bytes>,
        B::Error: std::fmt::Display,
    {
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        ensure!(announced <= max, TooLargeSnafu { max });
        let mut charge = Charge { ticket: Arc::clone(self), bytes: 0 };
        let (mut body, mut parts, mut length) = (pin!(body), Vec::<BytesMut>::new(), 0);
        while let Some(frame) = body.as_mut().frame().await {
            let frame = frame.map_err(|error| BadBody::Broken { why: error.to_string() })?;
            let Ok(mut data) = frame.into_data() else { continue };
            length += data.len();
            ensure!(length <= max, TooLargeSnafu { max });
            if parts.is_empty() && body.is_end_stream() {
                charge.grow(data.len()).await?;
                return Ok((data, charge));
            }
            while !data.is_empty() {
                let room = parts.last().map_or(0, |part| part.capacity() - part.len());
                if room == 0 {
                    charge.grow(PART_BYTES).await?;
                    parts.push(BytesMut::with_capacity(PART_BYTES));
                } else if let Some(part) = parts.last_mut() {
                    part.extend_from_slice(&data.split_to(room.min(data.len())));
                }
            }
        }
        match parts.len() {
            0 | 1 => Ok((parts.pop().unwrap_or_default().freeze(), charge)),
            _ => Ok((parts.concat().into(), charge)),
        }
    }
}

/// Bytes that a connection holds; given back on drop.
#[derive(Debug)]
pub struct Charge {
    ticket: Arc<Ticket>,
    bytes: usize,
}

impl Charge {
    /// Takes room for `bytes` more.
    ///
    /// # Errors
    /// [`BadBody::NoRoom`].
    pub async fn grow(&mut self, bytes: usize) -> Result<(), BadBody> {
        let id = self.ticket.id;
        match self.ticket.gate.take(|budget, now| budget.reserve(now, id, bytes)).await {
            Some(_) => {
                self.bytes += bytes;
                Ok(())
            }
            None => NoRoomSnafu.fail(),
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.ticket.gate.with_budget(|budget, _| budget.release(self.ticket.id, self.bytes));
    }
}

/// Guard of a request that this host works on.
#[derive(Debug)]
pub struct Work(Arc<Ticket>);

impl Drop for Work {
    fn drop(&mut self) {
        self.0.gate.with_budget(|budget, now| budget.end(now, self.0.id));
    }
}

/// Stream whose bytes count as progress of its connection.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    ticket: Arc<Ticket>,
    /// What waits in the socket, while the other side doesn't read.
    blocked: Option<Charge>,
    /// Ends when the stream must close itself, if it does.
    closed: Option<Pin<Box<OwnedNotified>>>,
}

impl Metered {
    /// Returns `stream` with bounds on the bytes that may wait in it.
    pub fn new(stream: TcpStream, ticket: Arc<Ticket>) -> Self {
        // With Nagle's algorithm a response may wait for a delayed acknowledgement. The results are dropped: a closed
        // socket shows at the first read.
        drop(stream.set_nodelay(true));
        if let Some(bytes) = ticket.callers.receive_buffer() {
            let socket = socket2::SockRef::from(&stream);
            drop(socket.set_send_buffer_size(SEND_BUFFER_BYTES));
            drop(socket.set_recv_buffer_size(bytes));
        }
        Self { stream, ticket, blocked: None, closed: None }
    }

    /// Returns the stream so that it breaks when it must be closed, for a server that can't close its connections.
    #[must_use]
    pub fn closing_itself(mut self) -> Self {
        self.closed = Some(Box::pin(Arc::clone(&self.ticket.closer).notified_owned()));
        self
    }

    fn note_written(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => {
                self.blocked = None;
                self.ticket.moved(*bytes);
            }
            Poll::Pending if self.blocked.is_none() => {
                self.blocked = Some(self.ticket.charge(2 * SEND_BUFFER_BYTES));
            }
            _ => {}
        }
        written
    }
}

impl AsyncRead for Metered {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.closed.as_mut().is_some_and(|closed| closed.as_mut().poll(cx).is_ready()) {
            self.closed = None;
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let before = buf.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if buf.filled().len() > before {
            self.ticket.moved(buf.filled().len() - before);
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for Metered {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Connected for Metered {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.connect_info()
    }
}
