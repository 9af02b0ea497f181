//! Demo in one process: hosts in three zones, the targets of one deployment, traffic, and a few injected failures.

use crate::load::{self, ArrivalPattern, Report};
use crate::target::{Fault, Target, TargetSettings};
use mangogw_catalogue::Catalogue;
use mangogw_model::{Capacity, EntryName, Kind};
use mangogwd::flags::BadFlag;
use mangogwd::server::{BadStart, Daemon};
use mangogwd::settings::Settings as HostSettings;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use snafu::{ResultExt, Snafu};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// Concurrent tasks of an executor.
const EXECUTOR_SLOTS: u32 = 8;
/// Speed of the slowest target; the fastest runs at [`SPEED_RATIO`] times this speed.
const MIN_SPEED: f64 = 0.4;
/// Ratio of the fastest target's speed to the slowest target's speed.
const SPEED_RATIO: f64 = 8.0;
/// Time within which all hosts must be ready and connected, and every target owned.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that the homes of limits wait before they grant leases: one lease of a share, plus a margin.
const SHARE_LEASE_WAIT: Duration = Duration::from_secs(6);
/// Interval between two checks of a start-up condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One of the two deployments that the examples describe.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Zones of the deployment.
    pub zones: [&'static str; 3],
    /// One-way delay between zones, in microseconds.
    pub delay_us: u64,
    /// Catalogue in TOML.
    pub catalogue: &'static str,
    /// Entries that receive single requests.
    pub entries: &'static [&'static str],
    /// Entry that receives jobs.
    pub job_entry: &'static str,
}

/// All deployments of the demo.
pub const DEPLOYMENTS: &[Deployment] = &[
    Deployment {
        name: "candle-desk",
        zones: ["regina-a", "moose-jaw", "swift-cur"],
        delay_us: 1_000,
        catalogue: include_str!("../../../examples/candle-desk/catalogue.toml"),
        entries: &["gate-scan", "marshal-route"],
        job_entry: "section-recount",
    },
    Deployment {
        name: "foldplan",
        zones: ["cheongju-a", "osong-b", "jincheon-c"],
        delay_us: 500,
        catalogue: include_str!("../../../examples/foldplan/catalogue.toml"),
        entries: &["paper-grade-switch", "glue-seam-recheck", "handle-patch"],
        job_entry: "order-plan",
    },
];

/// Settings of a demo.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Deployment to run.
    pub deployment: Deployment,
    /// Number of entry hosts, over all zones.
    pub hosts: usize,
    /// Number of executors, over all zones.
    pub executors: usize,
    /// Calls per second.
    pub rate: f64,
    /// Time during which calls are sent.
    pub duration: Duration,
    /// True to make two targets fail and to kill a target and a host during the demo.
    pub inject_faults: bool,
    /// Seed of the random speeds and calls.
    pub seed: u64,
    /// True to show a progress bar.
    pub show_progress: bool,
}

/// Error of a demo.
#[derive(Debug, Snafu)]
pub enum BadDemo {
    /// A folder, file or socket cannot be created.
    #[snafu(display("{source}"))]
    Io {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A host setting is wrong.
    #[snafu(display("{source}"))]
    Flag {
        /// Cause of the error.
        source: BadFlag,
    },
    /// A host cannot start.
    #[snafu(display("{source}"))]
    Start {
        /// Cause of the error.
        source: BadStart,
    },
    /// A start-up condition was not met in time.
    #[snafu(display("{condition} did not happen within {} s", STARTUP_TIMEOUT.as_secs()))]
    StartupTimeout {
        /// Condition that was awaited.
        condition: &'static str,
    },
}

/// Runs a demo and returns the report of its traffic.
///
/// # Errors
/// [`BadDemo`] if a host or target cannot start, or a start-up condition is not met in time.
pub async fn run(settings: &Settings) -> Result<Report, BadDemo> {
    let folder = tempfile::tempdir().context(IoSnafu)?;
    let mut daemons = start_hosts(settings, folder.path()).await?;
    let hosts: Vec<SocketAddr> = daemons.iter().map(Daemon::address).collect();
    let mut targets = start_targets(settings, &hosts).await?;
    wait_until("that every target is owned", || owned_targets(&daemons) == targets.len()).await?;
    tokio::time::sleep(SHARE_LEASE_WAIT).await;
    let traffic = load_settings(settings, &hosts);
    let report = if settings.inject_faults {
        // The host that is killed receives no calls, because its callers would only see broken connections.
        let surviving = load::Settings { hosts: hosts[..hosts.len() - 1].to_vec(), ..traffic };
        let (report, ()) =
            tokio::join!(load::run(&surviving), inject_faults(settings.duration, &mut daemons, &mut targets));
        report
    } else {
        load::run(&traffic).await
    };
    targets.into_iter().for_each(Target::kill);
    daemons.into_iter().for_each(Daemon::kill);
    Ok(report)
}

/// Makes two targets fail after a quarter of `duration`, kills a target at half and a host at three quarters.
async fn inject_faults(duration: Duration, daemons: &mut Vec<Daemon>, targets: &mut Vec<Target>) {
    tokio::time::sleep(duration / 4).await;
    targets[0].set_fault(Fault::Fail);
    targets[1].set_fault(Fault::Silent);
    tokio::time::sleep(duration / 4).await;
    if let Some(target) = targets.pop() {
        target.kill();
    }
    tokio::time::sleep(duration / 4).await;
    if let Some(daemon) = daemons.pop() {
        daemon.kill();
    }
}

async fn start_hosts(settings: &Settings, folder: &Path) -> Result<Vec<Daemon>, BadDemo> {
    let mut daemons: Vec<Daemon> = Vec::new();
    for number in 0..settings.hosts {
        let seed = daemons.first().map(Daemon::peer_address);
        let parsed = host_settings(settings, folder, number, seed)?;
        daemons.push(Daemon::bind(&parsed).await.context(StartSnafu)?);
    }
    let serves =
        |daemon: &Daemon| daemon.node().with_host(|host, now| host.is_ready() && host.status_view(now).catalogue.0 > 0);
    wait_until("that every host is ready", || daemons.iter().all(serves)).await?;
    let hosts = settings.hosts;
    let reached = |daemon: &Daemon| daemon.node().with_host(|host, now| host.status_view(now).reachable);
    wait_until("that every host reaches all others", || daemons.iter().all(|daemon| reached(daemon) == hosts)).await?;
    Ok(daemons)
}

fn host_settings(
    settings: &Settings,
    folder: &Path,
    number: usize,
    seed: Option<SocketAddr>,
) -> Result<HostSettings, BadDemo> {
    let Deployment { zones, delay_us, catalogue, .. } = settings.deployment;
    let file = folder.join("catalogue.toml");
    std::fs::write(&file, catalogue).context(IoSnafu)?;
    let data = folder.join(format!("host-{number}")).display().to_string();
    let (id, far, file) = ((number + 1).to_string(), delay_us.to_string(), file.display().to_string());
    let peers = seed.map(|seed| seed.to_string()).unwrap_or_default();
    let mut args = vec!["--zone", zones[number % zones.len()], "--host-id", &id, "--far-us", &far];
    args.extend(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--notice-ms", "0"]);
    match number {
        0 => args.extend(["--found", "--data", &data, "--catalogue", &file]),
        1 | 2 => args.extend(["--peers", &peers, "--data", &data]),
        _ => args.extend(["--peers", &peers]),
    }
    HostSettings::parse(args, &|_| None).context(FlagSnafu)
}

async fn start_targets(settings: &Settings, hosts: &[SocketAddr]) -> Result<Vec<Target>, BadDemo> {
    let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
    // Parsing cannot fail: the catalogue is compiled into the program and a test parses it.
    let entries = Catalogue::parse(settings.deployment.catalogue).map(|catalogue| catalogue.entries().clone());
    let entries: Vec<EntryName> = entries.unwrap_or_default().into_keys().collect();
    let mut targets = Vec::new();
    for number in 0..settings.executors {
        let mut hosts = hosts.to_vec();
        let shift = number % hosts.len();
        hosts.rotate_left(shift);
        let target_settings = TargetSettings {
            name: format!("executor-{number}").into(),
            zone: settings.deployment.zones[number % 3].into(),
            rack: format!("rack-{}", number / EXECUTOR_SLOTS as usize).into(),
            kind: Kind::Executor,
            entries: entries.clone(),
            capacity: Capacity { slots: EXECUTOR_SLOTS, ..Capacity::default() },
            speed: MIN_SPEED * SPEED_RATIO.powf(rng.random::<f64>()),
            fault: Fault::None,
            hosts,
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        targets.push(Target::bind(address, target_settings).await.context(IoSnafu)?);
    }
    Ok(targets)
}

fn load_settings(settings: &Settings, hosts: &[SocketAddr]) -> load::Settings {
    load::Settings {
        hosts: hosts.to_vec(),
        rate: settings.rate,
        duration: settings.duration,
        pattern: ArrivalPattern::Poisson,
        entries: settings.deployment.entries.iter().copied().map(EntryName::from).collect(),
        job_entry: Some(settings.deployment.job_entry.into()),
        job_share: 0.01,
        tasks: 20,
        resubmit_share: 0.5,
        cancel_share: 0.05,
        mean_runtime: Duration::from_millis(60),
        deadline: Duration::from_secs(20),
        seed: settings.seed,
        show_progress: settings.show_progress,
    }
}

/// Waits until `done` returns true.
async fn wait_until(condition: &'static str, done: impl Fn() -> bool) -> Result<(), BadDemo> {
    let waiting = async {
        while !done() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(STARTUP_TIMEOUT, waiting).await.map_err(|_elapsed| BadDemo::StartupTimeout { condition })
}

fn owned_targets(daemons: &[Daemon]) -> usize {
    daemons.iter().map(|daemon| daemon.node().with_host(|host, now| host.status_view(now).targets)).sum()
}
