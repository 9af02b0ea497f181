//! A control host whose disk refuses writes for a while.

use mangogw_control::{Call, Reply, Settings, found};
use mangogw_jobs::{Order, Outcome, QueueSet};
use mangogw_model::{Version, Zone};
use mangogw_store::{Disk, DiskFile, Folder, FolderDisk};
use mangogwd::shell::{Shell, TargetClient};
use std::io;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Calls until an answer must have come, far more than opening the folder again takes.
const MAX_CALLS: u32 = 400;
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Disk of the file system that refuses writes while `full` is set.
#[derive(Debug, Clone)]
struct FullDisk {
    disk: FolderDisk,
    full: Arc<AtomicBool>,
}

#[derive(Debug)]
struct FullFile {
    file: std::fs::File,
    full: Arc<AtomicBool>,
}

fn check(full: &AtomicBool) -> io::Result<()> {
    if full.load(Ordering::SeqCst) { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
}

impl Disk for FullDisk {
    type File = FullFile;

    fn list(&self) -> io::Result<Vec<String>> {
        self.disk.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.read(name)
    }

    fn create(&self, name: &str) -> io::Result<FullFile> {
        check(&self.full)?;
        Ok(FullFile { file: self.disk.create(name)?, full: Arc::clone(&self.full) })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.disk.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.disk.sync_folder()
    }
}

impl DiskFile for FullFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        check(&self.full)?;
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }
}

struct NoTargets;

impl TargetClient for NoTargets {
    async fn send(&self, _: &Order) -> Outcome {
        Outcome::Unsure
    }
}

/// Repeats a call until `done` accepts its reply.
async fn call_until<T>(shell: &Arc<Shell<NoTargets>>, call: &Call, done: impl Fn(Reply) -> Option<T>) -> T {
    for _ in 0..MAX_CALLS {
        if let Some(result) = done(shell.call(call.clone()).await) {
            return result;
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    panic!("no answer to {call:?} in {MAX_CALLS} calls");
}

fn install(version: u64) -> Call {
    Call::Install(Arc::new(QueueSet { version: Version(version), ..QueueSet::default() }))
}

/// Guards against a control host that takes no part in its group for good, once its disk has refused a write: it opens
/// its folder again, with all that it has acknowledged, each time that the disk takes writes again.
#[tokio::test]
async fn a_control_host_takes_part_again_when_its_disk_takes_writes_again() {
    let temp = tempfile::tempdir().unwrap();
    let full = Arc::new(AtomicBool::new(false));
    let disk = FullDisk { disk: FolderDisk::open(temp.path()).unwrap(), full: Arc::clone(&full) };
    let ip = Ipv4Addr::LOCALHOST;
    let stored = found(ip, &[ip]);
    let folder = Folder::create(disk, &stored).unwrap();
    let settings = Settings {
        host: stored.host,
        seed: 1,
        port: 1,
        seeds: Vec::new(),
        zone: Zone::from("a"),
        zones: Vec::new(),
        cpu_millicores: 500,
        direct_targets: 100,
        voters: 3,
        jobs: mangogw_jobs::Settings::default(),
        reply_timeout: Duration::from_millis(900),
        resend_delay: Duration::from_millis(1300),
    };
    let (shell, timer) = Shell::spawn(settings, "test", Some((folder, stored)), NoTargets).unwrap();
    for round in 0..3 {
        call_until(&shell, &install(2 * round + 1), |reply| (reply == Reply::Done).then_some(())).await;
        full.store(true, Ordering::SeqCst);
        assert_ne!(shell.call(install(2 * round + 2)).await, Reply::Done, "round {round}: nothing can be stored");
        full.store(false, Ordering::SeqCst);
        let version = |reply| match reply {
            Reply::Set(set) => Some(set.map_or(0, |set| set.version.0)),
            _ => None,
        };
        let fetched = call_until(&shell, &Call::Fetch, version).await;
        assert!(fetched > 2 * round, "round {round}: version {fetched} came back");
    }
    timer.abort();
}
