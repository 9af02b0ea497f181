//! Measures the replicated log on real files: acknowledged changes per second, latency, cost of a change, replay time.
//!
//! `cargo run --release -p mangogw-store --example measure [FOLDER]`

use mangogw_model::{HostId, Time};
use mangogw_store::{
    DurableState, Folder, FolderDisk, FolderId, GroupId, Members, Message, Output, Raft, Role, Settings, Tag, Write,
};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Size of a change, about that of one catalogue entry.
const CHANGE_BYTES: usize = 200;
/// Maximum number of unacknowledged changes in the runs that batch.
const MAX_INFLIGHT: usize = 256;

/// Input to the thread of a voter.
enum Input {
    Message(HostId, Message),
    Synced(mangogw_store::WriteId),
    Propose(u64),
    Stop,
}

/// One voter, with a thread for the state machine and a thread that writes and syncs.
struct Voter {
    raft: Raft,
    peers: BTreeMap<HostId, Sender<Input>>,
    disk: Sender<Write>,
    acked: Sender<u64>,
    elected: Sender<HostId>,
    /// Bytes of all messages sent.
    bytes: u64,
    /// Number of messages sent.
    messages: u64,
}

fn clock(start: Instant) -> Time {
    Time::from_micros(start.elapsed().as_micros() as u64)
}

impl Voter {
    fn run(mut self, id: HostId, inbox: &Receiver<Input>, start: Instant) -> (u64, u64, Duration) {
        let mut tick = Time::ZERO;
        loop {
            let first = inbox.recv_timeout(Duration::from_millis(5));
            let now = clock(start);
            match first {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return (self.bytes, self.messages, cpu()),
                Ok(input) => self.handle_input(now, input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // All waiting inputs form one batch.
            while let Ok(input) = inbox.try_recv() {
                match input {
                    Input::Stop => return (self.bytes, self.messages, cpu()),
                    input => self.handle_input(now, input),
                }
            }
            if now - tick >= Duration::from_millis(10) {
                tick = now;
                self.raft.on_tick(now);
            }
            for output in self.raft.drain() {
                self.carry_out(id, output);
            }
        }
    }

    fn handle_input(&mut self, now: Time, input: Input) {
        match input {
            Input::Message(from, message) => self.raft.on_message(now, from, message),
            Input::Synced(id) => self.raft.on_synced(now, id),
            Input::Propose(number) => self.raft.propose(now, vec![number as u8; CHANGE_BYTES].into(), Tag(number)),
            Input::Stop => {}
        }
    }

    fn carry_out(&mut self, id: HostId, output: Output) {
        match output {
            Output::Send { to, message } => {
                let bytes = postcard::to_stdvec(&message).expect("messages encode");
                self.bytes += bytes.len() as u64;
                self.messages += 1;
                let message = postcard::from_bytes(&bytes).expect("messages decode");
                drop(self.peers[&to].send(Input::Message(id, message)));
            }
            Output::Write(write) => drop(self.disk.send(write)),
            Output::Apply { entries } => {
                for tag in entries.iter().filter_map(|entry| entry.tag) {
                    self.acked.send(tag.0).expect("the load generator receives acknowledgements");
                }
            }
            Output::Role { role: Role::Leader, .. } => drop(self.elected.send(id)),
            Output::Refused { tag, why, .. } => panic!("{tag:?} was refused: {why:?}"),
            _ => {}
        }
    }
}

/// Returns the processor time of this thread, from `/proc/thread-self/schedstat`; 0 if the file can't be read.
fn cpu() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    Duration::from_nanos(text.split(' ').next().and_then(|nanos| nanos.parse().ok()).unwrap_or(0))
}

fn sync_loop(mut folder: Folder, writes: &Receiver<Write>, voter: &Sender<Input>) -> Duration {
    while let Ok(first) = writes.recv() {
        let batch: Vec<_> = std::iter::once(first).chain(writes.try_iter()).collect();
        folder.write(&batch).expect("the data folder accepts the writes");
        drop(voter.send(Input::Synced(batch[batch.len() - 1].id)));
    }
    cpu()
}

/// Result of one run.
struct RunResult {
    /// Acknowledged changes per second.
    rate: f64,
    p50: Duration,
    p99: Duration,
    bytes: u64,
    messages: u64,
    cpu: Duration,
    /// Bytes sent, messages sent and processor time of the leader's state machine thread.
    leader: (u64, u64, Duration),
}

/// Runs `changes` changes, at most `window` at once, on three voters and `learners` learners that store in `folder`.
fn run(folder: &Path, changes: u64, window: usize, learners: u64) -> RunResult {
    let mut members = Members::from_voters((1..=3).map(|id| (HostId(id), FolderId(id))));
    members.learners = (4..4 + learners).map(|id| (HostId(id), FolderId(id))).collect();
    let (acked, acks) = channel();
    let (elected, leaders) = channel();
    let start = Instant::now();
    let boxes: Vec<_> = (1..=3 + learners).map(|id| (HostId(id), channel())).collect();
    let peers: BTreeMap<_, _> = boxes.iter().map(|(id, (sender, _))| (*id, sender.clone())).collect();
    let mut threads = Vec::new();
    let mut disks = Vec::new();
    for (id, (sender, inbox)) in boxes {
        let stored = DurableState::bootstrap(id, FolderId(id.0), GroupId(1), members.clone(), bytes::Bytes::new());
        let disk = FolderDisk::open(folder.join(id.to_string())).expect("a folder");
        let store = Folder::create(disk, &stored).expect("a new folder");
        let (disk, writes) = channel();
        let settings = Settings { seed: id.0, log_bytes: usize::MAX, ..Settings::default() };
        let raft = Raft::open(settings, stored, clock(start));
        let voter = Voter {
            raft,
            peers: peers.clone(),
            disk,
            acked: acked.clone(),
            elected: elected.clone(),
            bytes: 0,
            messages: 0,
        };
        disks.push(thread::spawn(move || sync_loop(store, &writes, &sender)));
        threads.push(thread::spawn(move || voter.run(id, &inbox, start)));
    }
    let leader_id = leaders.recv().expect("a leader");
    let leader = &peers[&leader_id];
    thread::sleep(Duration::from_millis(50));
    let (rate, mut latencies) = load(leader, &acks, changes, window);
    latencies.sort_unstable();
    for peer in peers.values() {
        drop(peer.send(Input::Stop));
    }
    let sums: Vec<_> = threads.into_iter().map(|thread| thread.join().expect("a voter")).collect();
    let disk_cpu: Duration = disks.into_iter().map(|thread| thread.join().expect("a disk")).sum();
    RunResult {
        rate,
        p50: latencies[latencies.len() / 2],
        p99: latencies[latencies.len() * 99 / 100],
        bytes: sums.iter().map(|sum| sum.0).sum(),
        messages: sums.iter().map(|sum| sum.1).sum(),
        cpu: sums.iter().map(|sum| sum.2).sum::<Duration>() + disk_cpu,
        leader: sums[leader_id.0 as usize - 1],
    }
}

/// Proposes `changes` changes; returns the rate per second and the time from each proposal to its acknowledgement.
fn load(leader: &Sender<Input>, acks: &Receiver<u64>, changes: u64, window: usize) -> (f64, Vec<Duration>) {
    let mut sent = vec![Instant::now(); changes as usize];
    let mut latencies = Vec::new();
    let (start, mut next) = (Instant::now(), 0);
    while (latencies.len() as u64) < changes {
        while next < changes && next as usize - latencies.len() < window {
            sent[next as usize] = Instant::now();
            drop(leader.send(Input::Propose(next)));
            next += 1;
        }
        let number = acks.recv().expect("an acknowledgement");
        latencies.push(sent[number as usize].elapsed());
    }
    (changes as f64 / start.elapsed().as_secs_f64(), latencies)
}

fn replay(folder: &Path, changes: u64) {
    let start = Instant::now();
    let (_folder, stored) = Folder::open(folder).expect("the folder opens");
    let opened = start.elapsed();
    assert!(stored.entries.len() as u64 >= changes, "{} entries", stored.entries.len());
    let mut raft = Raft::open(Settings::default(), stored, Time::ZERO);
    let applied: usize =
        raft.drain().iter().map(|output| if let Output::Apply { entries } = output { entries.len() } else { 0 }).sum();
    println!("replay of {changes}: folder {opened:.1?}, with state machine {:.1?}, {applied} applied", start.elapsed());
}

fn main() {
    let base = std::env::args().nth(1).map_or_else(std::env::temp_dir, Into::into);
    println!("changes of {CHANGE_BYTES} bytes, 3 voters, real syncs in {}", base.display());
    for (changes, window) in
        [(500, 1), (2_000, 16), (10_000, MAX_INFLIGHT), (30_000, MAX_INFLIGHT), (100_000, MAX_INFLIGHT)]
    {
        let folder = tempfile::tempdir_in(&base).expect("a folder");
        let run = run(folder.path(), changes, window, 0);
        println!(
            "{changes} changes, {window} at once: {:.0}/s, p50 {:.1?}, p99 {:.1?}; all voters: {} bytes, {:.2} messages, \
             {:.1} us of processor a change",
            run.rate,
            run.p50,
            run.p99,
            run.bytes / changes,
            run.messages as f64 / changes as f64,
            run.cpu.as_secs_f64() * 1e6 / changes as f64,
        );
        replay(&folder.path().join("1"), changes);
    }
    for (learners, window) in [(0, 1), (8, 1), (16, 1), (33, 1), (0, 64), (8, 64), (16, 64), (33, 64)] {
        let folder = tempfile::tempdir_in(&base).expect("a folder");
        let changes = 200 * window as u64;
        let run = run(folder.path(), changes, window, learners);
        let (bytes, messages, cpu) = run.leader;
        println!(
            "{} hosts, {window} at once: {:.0}/s, p99 {:.1?}; the leader: {} bytes, {:.2} messages, {:.1} us a change",
            learners + 3,
            run.rate,
            run.p99,
            bytes / changes,
            messages as f64 / changes as f64,
            cpu.as_secs_f64() * 1e6 / changes as f64,
        );
    }
}
