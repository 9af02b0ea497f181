//! What callers may hold of a process: connections, and bytes of requests that are not answered yet.
//!
//! Answers crowds that hold connections or memory without using them: bodies that stop short of their end, requests sent
//! or read byte by byte, requests sent ahead. When there is no room, the holder with the least recent progress is closed;
//! if each has made some, or waits for this host, the new one is refused.

use indexmap::IndexMap;
use mangogw_model::Time;
use std::time::Duration;

/// Bytes that the task and the buffers of an open connection take.
const TASK_BYTES: usize = 16 * 1024;
/// Time without progress after which a connection is closed.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(15);
/// Bytes that count as progress, as does an answer.
pub const PROGRESS_BYTES: usize = 4096;
/// Time that a connection is kept at least, also if there is no room for others.
const MIN_HOLD: Duration = Duration::from_millis(500);
/// Part of the memory of the process that callers may hold.
const MEMORY_SHARE: (usize, usize) = (5, 16);
/// Sixteenths of the descriptors for the connections of each kind of callers. The rest is for connections to targets and
/// to other hosts, and for the data folder.
const CONNECTION_SHARES: [usize; 4] = [10, 10, 1, 2];
/// Fewest connections of each kind.
const MIN_CONNECTIONS: usize = 8;

/// Kind of callers; each has a part of the connections of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Callers {
    /// Clients.
    Clients,
    /// Targets and operators.
    Control,
    /// Probes of readiness, and readers of metrics.
    Probes,
    /// Other hosts.
    Hosts,
}

impl Callers {
    /// All kinds, in the order of [`Limits::connections`].
    pub const ALL: [Self; 4] = [Self::Clients, Self::Control, Self::Probes, Self::Hosts];

    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Clients => "clients",
            Self::Control => "control",
            Self::Probes => "probes",
            Self::Hosts => "hosts",
        }
    }

    /// Returns the size of the receive buffer of a socket; `None` if the system decides. The system doubles it.
    pub const fn receive_buffer(self) -> Option<usize> {
        match self {
            Self::Clients => Some(16 * 1024),
            Self::Control => Some(32 * 1024),
            Self::Probes => Some(8 * 1024),
            Self::Hosts => None,
        }
    }

    /// Returns the bytes that an open connection is charged with, those that may wait in its socket included.
    const fn connection_bytes(self) -> usize {
        match self.receive_buffer() {
            Some(buffer) => TASK_BYTES + 2 * buffer,
            None => TASK_BYTES,
        }
    }

    /// Probes are answered at once, so none of their connections needs to be kept.
    const fn min_hold(self) -> Duration {
        match self {
            Self::Probes => Duration::ZERO,
            _ => MIN_HOLD,
        }
    }

    /// Returns true if room is kept for these callers, whatever clients hold.
    const fn is_kept(self) -> bool {
        matches!(self, Self::Probes | Self::Hosts)
    }
}

/// Most that callers may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes, in all.
    pub bytes: usize,
    /// Connections of each of [`Callers::ALL`].
    pub connections: [usize; 4],
}

impl Limits {
    /// Returns the limits of a process that may use `memory` bytes, and so many `descriptors` for sockets and data files.
    ///
    /// ```
    /// use mangogwd::budget::Limits;
    /// let limits = Limits::derive(120 << 20, 2875);
    /// assert_eq!(limits.bytes, 75 << 19);
    /// assert_eq!(limits.connections, [400, 240, 179, 359]);
    /// ```
    pub fn derive(memory: usize, descriptors: usize) -> Self {
        let bytes = memory / MEMORY_SHARE.1 * MEMORY_SHARE.0;
        let connections = Callers::ALL.map(|callers| {
            let share = descriptors * CONNECTION_SHARES[callers as usize] / 16;
            share.min(bytes / 2 / callers.connection_bytes()).max(MIN_CONNECTIONS)
        });
        Self { bytes, connections }
    }
}

/// Id of an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HolderId(u64);

#[derive(Debug)]
struct Holder {
    callers: Callers,
    bytes: usize,
    /// Requests that this host works on.
    work: u32,
    is_closing: bool,
    opened: Time,
    /// Time of the last progress, and bytes since.
    progress: Time,
    moved: usize,
}

impl Holder {
    /// Returns true if there is more to the connection than itself.
    const fn holds_request(&self) -> bool {
        self.bytes > self.callers.connection_bytes()
    }
}

/// Answer to a request for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is room, which is taken now.
    Granted(HolderId),
    /// There is room once this holder is closed.
    Close(HolderId),
    /// There is room once the holders that are being closed have ended.
    Wait,
    /// There is no room.
    Refused,
}

/// Counts since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections that were closed as they came.
    pub refused: u64,
    /// Connections that were closed to make room.
    pub displaced: u64,
    /// Connections that were closed since they made no progress.
    pub stalled: u64,
    /// Bodies that found no room.
    pub unread: u64,
}

/// What is held, and what was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Open connections of each of [`Callers::ALL`].
    pub connections: [usize; 4],
    /// Most connections of each that were open at once.
    pub most: [usize; 4],
    /// Bytes that are held.
    pub bytes: usize,
    /// Counts since the start of the process.
    pub counts: Counts,
}

/// Budget of a process.
///
/// ```
/// use mangogw_model::Time;
/// use mangogwd::budget::{Budget, Callers, Limits, Verdict};
///
/// let mut budget = Budget::new(Limits { bytes: 1 << 20, connections: [1, 0, 0, 0] });
/// let Verdict::Granted(first) = budget.open(Time::ZERO, Callers::Clients) else { panic!("there is room") };
/// assert_eq!(budget.open(Time::from_millis(1), Callers::Clients), Verdict::Refused);
/// // Later on, the first connection has made no progress.
/// assert_eq!(budget.open(Time::from_millis(900), Callers::Clients), Verdict::Close(first));
/// budget.close(first);
/// assert!(matches!(budget.open(Time::from_millis(900), Callers::Clients), Verdict::Granted(_)));
/// ```
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    holders: IndexMap<HolderId, Holder>,
    next: u64,
    bytes: usize,
    open: [usize; 4],
    most: [usize; 4],
    counts: Counts,
}

impl Budget {
    /// Returns a budget of which nothing is held.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            holders: IndexMap::new(),
            next: 0,
            bytes: 0,
            open: [0; 4],
            most: [0; 4],
            counts: Counts::default(),
        }
    }

    /// Opens a connection. A refusal is counted.
    pub fn open(&mut self, now: Time, callers: Callers) -> Verdict {
        let is_full = self.open[callers as usize] >= self.limits.connections[callers as usize];
        let bytes = callers.connection_bytes();
        let is_out = !callers.is_kept() && self.bytes + bytes > self.limits.bytes;
        let verdict = match () {
            () if is_full => self.displace(now, |holder| holder.callers == callers),
            () if is_out => self.displace(now, |holder| !holder.callers.is_kept()),
            () => {
                let id = HolderId(self.next);
                self.next += 1;
                self.bytes += bytes;
                self.open[callers as usize] += 1;
                self.most[callers as usize] = self.open[callers as usize].max(self.most[callers as usize]);
                self.holders.insert(
                    id,
                    Holder { callers, bytes, work: 0, is_closing: false, opened: now, progress: now, moved: 0 },
                );
                Verdict::Granted(id)
            }
        };
        self.counts.refused += u64::from(verdict == Verdict::Refused);
        verdict
    }

    /// Takes room for `bytes` of the body of a request on the connection `id`. A refusal is counted.
    pub fn reserve(&mut self, now: Time, id: HolderId, bytes: usize) -> Verdict {
        if self.bytes + bytes > self.limits.bytes {
            let verdict = self.displace(now, Holder::holds_request);
            self.counts.unread += u64::from(verdict == Verdict::Refused);
            return verdict;
        }
        self.add(id, bytes);
        Verdict::Granted(id)
    }

    /// Charges the connection `id` with `bytes` that it holds already. Returns a holder to close if that is too much.
    pub fn charge(&mut self, now: Time, id: HolderId, bytes: usize) -> Option<HolderId> {
        self.add(id, bytes);
        if self.bytes <= self.limits.bytes {
            return None;
        }
        match self.displace(now, Holder::holds_request) {
            Verdict::Close(victim) => Some(victim),
            _ => None,
        }
    }

    fn add(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
            self.bytes += bytes;
        }
    }

    /// Gives back `bytes` of the connection `id`.
    pub fn release(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes -= bytes;
            self.bytes -= bytes;
        }
    }

    /// Notes that `bytes` were read from or written to the connection `id`.
    pub fn moved(&mut self, now: Time, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.moved += bytes;
            // Hosts send little, but often.
            if holder.moved >= PROGRESS_BYTES || holder.callers == Callers::Hosts {
                (holder.progress, holder.moved) = (now, 0);
            }
        }
    }

    /// Notes that this host works on a request of the connection `id`.
    pub fn begin(&mut self, now: Time, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.work += 1;
            (holder.progress, holder.moved) = (now, 0);
        }
    }

    /// Notes that a request of the connection `id` is answered.
    pub fn end(&mut self, now: Time, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.work -= 1;
            (holder.progress, holder.moved) = (now, 0);
        }
    }

    /// Forgets a connection that has ended, with all that it held.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.swap_remove(&id) {
            self.bytes -= holder.bytes;
            self.open[holder.callers as usize] -= 1;
        }
    }

    /// Returns the connections to close since they have made no progress for [`PROGRESS_TIMEOUT`].
    pub fn stalled(&mut self, now: Time) -> Vec<HolderId> {
        let is_stalled =
            |holder: &Holder| holder.work == 0 && !holder.is_closing && now - holder.progress >= PROGRESS_TIMEOUT;
        let stalled: Vec<_> = self.holders.iter().filter(|(_, holder)| is_stalled(holder)).map(|(id, _)| *id).collect();
        for id in &stalled {
            self.holders[id].is_closing = true;
        }
        self.counts.stalled += stalled.len() as u64;
        stalled
    }

    /// Returns what is held, and what was refused.
    pub const fn view(&self) -> View {
        View { connections: self.open, most: self.most, bytes: self.bytes, counts: self.counts }
    }

    /// Chooses the holder with the least recent progress among those that `may_go`.
    fn displace(&mut self, now: Time, may_go: impl Fn(&Holder) -> bool) -> Verdict {
        let is_idle = |holder: &Holder| holder.work == 0 && now - holder.opened >= holder.callers.min_hold();
        let candidates = self.holders.iter_mut().filter(|(_, holder)| may_go(holder));
        let (mut first, mut is_closing) = (None::<(HolderId, &mut Holder)>, false);
        for (id, holder) in candidates {
            is_closing |= holder.is_closing;
            let is_first = first.as_ref().is_none_or(|(_, other)| holder.progress < other.progress);
            if is_first && !holder.is_closing && is_idle(holder) {
                first = Some((*id, holder));
            }
        }
        match first {
            Some((id, holder)) => {
                holder.is_closing = true;
                self.counts.displaced += 1;
                Verdict::Close(id)
            }
            None if is_closing => Verdict::Wait,
            None => Verdict::Refused,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn granted(verdict: Verdict) -> HolderId {
        match verdict {
            Verdict::Granted(id) => id,
            other => panic!("no room: {other:?}"),
        }
    }

    fn at(millis: u64) -> Time {
        Time::from_millis(millis)
    }

    #[test]
    fn crowd_that_stops_short_gives_way_to_one_that_goes_on() {
        let body = 256 * 1024;
        let mut budget =
            Budget::new(Limits { bytes: 4 * (body + Callers::Clients.connection_bytes()), connections: [64; 4] });
        let crowd: Vec<_> = (0..4).map(|_| granted(budget.open(at(0), Callers::Clients))).collect();
        for id in &crowd {
            assert_eq!(budget.reserve(at(1), *id, body - 1), Verdict::Granted(*id));
        }
        let late = granted(budget.open(at(2), Callers::Probes));
        assert_eq!(budget.reserve(at(3), late, body), Verdict::Refused);
        budget.moved(at(600), crowd[0], PROGRESS_BYTES);
        assert_eq!(budget.reserve(at(700), late, body), Verdict::Close(crowd[1]));
        budget.close(crowd[1]);
        assert_eq!(budget.reserve(at(700), late, body), Verdict::Granted(late));
    }

    #[test]
    fn request_in_work_is_never_displaced() {
        let mut budget = Budget::new(Limits { bytes: 1 << 20, connections: [2; 4] });
        let ids = [0, 1].map(|_| granted(budget.open(at(0), Callers::Clients)));
        for id in ids {
            budget.begin(at(0), id);
        }
        assert_eq!(budget.open(at(60_000), Callers::Clients), Verdict::Refused);
        assert!(budget.stalled(at(60_000)).is_empty());
        budget.end(at(60_000), ids[1]);
        assert_eq!(budget.open(at(60_001), Callers::Clients), Verdict::Close(ids[1]));
    }

    #[test]
    fn room_of_probes_and_hosts_is_kept() {
        let mut budget = Budget::new(Limits { bytes: 2 * Callers::Clients.connection_bytes(), connections: [8; 4] });
        for _ in 0..2 {
            granted(budget.open(at(0), Callers::Clients));
        }
        assert_eq!(budget.open(at(1), Callers::Clients), Verdict::Refused);
        granted(budget.open(at(1), Callers::Probes));
        granted(budget.open(at(1), Callers::Hosts));
    }

    #[test]
    fn newest_probe_gets_in_at_once() {
        let mut budget = Budget::new(Limits { bytes: 1 << 20, connections: [1; 4] });
        let first = granted(budget.open(at(0), Callers::Probes));
        assert_eq!(budget.open(at(0), Callers::Probes), Verdict::Close(first));
        assert_eq!(budget.open(at(0), Callers::Probes), Verdict::Wait);
        budget.close(first);
        granted(budget.open(at(0), Callers::Probes));
    }

    #[test]
    fn slow_byte_after_byte_is_no_progress() {
        let mut budget = Budget::new(Limits { bytes: 1 << 20, connections: [8; 4] });
        let [slow, host] = [Callers::Clients, Callers::Hosts].map(|callers| granted(budget.open(at(0), callers)));
        for millis in (0..15_000).step_by(20) {
            budget.moved(at(millis), slow, 1);
            budget.moved(at(millis), host, 1);
        }
        assert_eq!(budget.stalled(at(15_000)), [slow]);
        assert_eq!(budget.stalled(at(15_001)), []);
    }

    #[test]
    fn everything_held_is_given_back() {
        let mut budget = Budget::new(Limits { bytes: 1 << 20, connections: [8; 4] });
        let id = granted(budget.open(at(0), Callers::Clients));
        granted(budget.reserve(at(0), id, 1000));
        assert_eq!(budget.charge(at(0), id, 1 << 20), None);
        budget.release(id, 1000);
        budget.close(id);
        // Charges may be dropped after their connection.
        budget.release(id, 1 << 20);
        assert_eq!((budget.view().bytes, budget.view().connections), (0, [0; 4]));
    }
}
