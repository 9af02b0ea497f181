//! Settings of the daemon: the table of its flags and the checks of their values.

use crate::flags::{self, BadFlag, Flag, ParsedFlags, number_in_range};
use crate::logs::Format;
use mangogw_model::Zone;
use rustix::process::{Resource, getrlimit};
use std::ffi::OsStr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Descriptors that are counted on at most where the system has no limit.
const MAX_DESCRIPTORS: usize = 1 << 20;

/// All flags of `mangogwd`.
pub const FLAGS: &[Flag] = &[
    Flag::new("Place", "zone", "ZONE", "zone-1", "availability zone of this host"),
    Flag::new("Place", "host-id", "N", "1", "id of this host, unique in the cluster"),
    Flag::new("Place", "cluster", "NAME", "mangogw", "hosts of other clusters are refused"),
    Flag::new("Place", "listen", "IP:PORT", "127.0.0.1:7070", "callers, targets, operators"),
    Flag::new("Hosts", "peer-listen", "IP:PORT", "127.0.0.1:7071", "where other hosts connect"),
    Flag::new("Hosts", "peers", "LIST", "", "peer addresses to join at, joined by commas"),
    Flag::new("Hosts", "far-us", "US", "1000", "one way to another zone, in microseconds"),
    Flag::new("State", "data", "DIR", "", "data folder; with it the host joins the control group"),
    Flag::new("State", "found", "", "", "found a new control group if the data folder is new"),
    Flag::new("State", "catalogue", "FILE", "", "catalogue of a new control group, TOML"),
    Flag::new("Limits", "requests", "N", "20000", "open requests at once"),
    Flag::new("Limits", "memory-mb", "MB", "2048", "memory of the process; callers may hold 5/32 of it"),
    Flag::new("Limits", "max-fds", "N", "0", "descriptors of the process; 0 for the limit of the system"),
    Flag::new("Limits", "send-ms", "MS", "10000", "time a sender has for a whole request"),
    Flag::new(
        "Targets",
        "target-networks",
        "LIST",
        "127.0.0.0/8,::1/128,10.0.0.0/8,172.16.0.0/12,192.168.0.0/16",
        "networks that targets may announce addresses in",
    ),
    Flag::new("Stopping", "notice-ms", "MS", "1000", "time between not ready and no longer accepting"),
    Flag::new("Stopping", "drain-ms", "MS", "60000", "longest wait for work in flight"),
    Flag::new("Logs", "log", "FILTER", "info", "level, or module=level list"),
    Flag::new("Logs", "log-format", "FORMAT", "text", "text or json"),
    Flag::new("Other", "check", "", "", "check the settings and exit"),
    Flag::new("Other", "help", "", "", "print this and exit"),
    Flag::new("Other", "version", "", "", "print the version and exit"),
];

/// Checked settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Availability zone of the host.
    pub zone: Zone,
    /// Id of the host, unique in the cluster.
    pub host: u64,
    /// Cluster that the host belongs to.
    pub cluster: String,
    /// Address where other hosts connect.
    pub peer_listen: SocketAddr,
    /// Peer addresses of the hosts through which this one joins the cluster.
    pub peers: Vec<SocketAddr>,
    /// One-way network delay to another zone.
    pub remote_delay: Duration,
    /// Data folder; `None` for a host that keeps no state on disk.
    pub data: Option<PathBuf>,
    /// True to found a control group if the data folder is new.
    pub found_group: bool,
    /// Address where callers, targets and operators connect.
    pub listen: SocketAddr,
    /// Catalogue file of a new control group, TOML.
    pub catalogue: Option<PathBuf>,
    /// Most requests that are open at once; further ones are refused.
    pub max_requests: usize,
    /// Memory of the process, in MiB.
    pub memory_mb: usize,
    /// Descriptors of the process.
    pub max_fds: usize,
    /// Longest time in which a sender must send a whole request body.
    pub send_timeout: Duration,
    /// Networks in which targets may announce addresses.
    pub networks: Vec<Network>,
    /// Time at a stop between reporting not ready and closing the listener.
    pub notice_period: Duration,
    /// Longest wait for work in flight at a stop.
    pub drain_timeout: Duration,
    /// Filter of the log: a level, or a list of module=level.
    pub log: String,
    /// Format of log lines.
    pub format: Format,
    /// Action to perform instead of running; `None` to run.
    pub action: Option<CliAction>,
}

/// Action that a command line requests instead of running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CliAction {
    /// Check the settings and exit.
    Check,
    /// Print the help and exit.
    Help,
    /// Print the version and exit.
    Version,
}

/// IP network, written as `IP/BITS`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Network {
    address: u128,
    mask: u128,
    v4: bool,
}

impl Network {
    /// Parses `IP/BITS`.
    ///
    /// # Errors
    /// A sentence that says what is expected.
    ///
    /// ```
    /// use mangogwd::settings::Network;
    /// let network = Network::parse("10.0.0.0/8").unwrap();
    /// assert!(network.contains("10.1.2.3".parse().unwrap()));
    /// assert!(!network.contains("11.1.2.3".parse().unwrap()));
    /// ```
    pub fn parse(text: &str) -> Result<Self, String> {
        let invalid = || format!("{text:?} is no network; give IP/BITS, such as 10.0.0.0/8");
        let (address, bits) = text.trim().split_once('/').ok_or_else(invalid)?;
        let address = address.parse().map_err(|_bad| invalid())?;
        let bits: u32 = bits.parse().map_err(|_bad| invalid())?;
        let (number, v4) = to_number(address);
        let width: u32 = if v4 { 32 } else { 128 };
        let host_bits = width.checked_sub(bits).ok_or_else(invalid)?;
        let mask = u128::MAX.checked_shl(host_bits).unwrap_or(0);
        Ok(Self { address: number & mask, mask, v4 })
    }

    /// Returns true if the address is in the network.
    pub fn contains(&self, address: std::net::IpAddr) -> bool {
        let (number, v4) = to_number(address);
        v4 == self.v4 && number & self.mask == self.address
    }
}

fn to_number(address: std::net::IpAddr) -> (u128, bool) {
    match address {
        std::net::IpAddr::V4(v4) => (u128::from(v4.to_bits()), true),
        std::net::IpAddr::V6(v6) => (v6.to_bits(), false),
    }
}

impl Settings {
    /// Parses and checks the command line; `env` looks up environment variables.
    ///
    /// # Errors
    /// [`BadFlag`], which names the flag or variable, its value and how to correct it.
    pub fn parse<I>(args: I, env: &dyn Fn(&str) -> Option<String>) -> Result<Self, BadFlag>
    where
        I: IntoIterator,
        I::Item: AsRef<OsStr>,
    {
        let given = flags::parse(FLAGS, args, env)?;
        match given.positional.first() {
            Some(extra) => Err(BadFlag::Value {
                origin: "argument".to_owned(),
                value: extra.clone(),
                reason: "mangogwd takes flags only; see --help".to_owned(),
            }),
            None => Self::check(&given),
        }
    }

    fn check(given: &ParsedFlags) -> Result<Self, BadFlag> {
        Ok(Self {
            zone: given.parse("zone", parse_zone)?,
            host: given.parse("host-id", number_in_range(1, 1 << 40))?,
            listen: given.parse("listen", parse_address)?,
            cluster: given.parse("cluster", parse_zone)?.to_string(),
            peer_listen: given.parse("peer-listen", parse_address)?,
            peers: given.parse("peers", parse_addresses)?,
            remote_delay: given.parse("far-us", number_in_range(0, 1_000_000)).map(Duration::from_micros)?,
            data: path(given, "data"),
            found_group: given.is_set("found"),
            catalogue: path(given, "catalogue"),
            max_requests: given.parse("requests", number_in_range(1, 10_000_000))? as usize,
            memory_mb: given.parse("memory-mb", number_in_range(64, 1 << 24))? as usize,
            max_fds: descriptors(given.parse("max-fds", number_in_range(0, 1 << 24))? as usize),
            send_timeout: millis(given, "send-ms", 10, 600_000)?,
            networks: given.parse("target-networks", parse_networks)?,
            notice_period: millis(given, "notice-ms", 0, 60_000)?,
            drain_timeout: millis(given, "drain-ms", 0, 3_600_000)?,
            log: given.text("log").to_owned(),
            format: given.parse("log-format", parse_format)?,
            action: action(given),
        })
    }
}

/// Returns the limit of the system for 0, and `given` for any other number.
fn descriptors(given: usize) -> usize {
    let limit = || getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok());
    match given {
        0 => limit().unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS),
        given => given,
    }
}

fn action(given: &ParsedFlags) -> Option<CliAction> {
    let actions = [("help", CliAction::Help), ("version", CliAction::Version), ("check", CliAction::Check)];
    actions.into_iter().find(|(name, _)| given.is_set(name)).map(|(_, action)| action)
}

fn parse_zone(text: &str) -> Result<Zone, String> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    match text.len() {
        1..=63 if text.chars().all(is_allowed) => Ok(Zone::from(text)),
        _ => Err("give 1 to 63 lower-case letters, digits and dashes, such as regina-a".to_owned()),
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_bad| "give an IP number and a port, such as 127.0.0.1:7070".to_owned())
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    text.split(',').filter(|part| !part.is_empty()).map(parse_address).collect()
}

fn path(given: &ParsedFlags, name: &str) -> Option<PathBuf> {
    Some(given.text(name)).filter(|path| !path.is_empty()).map(PathBuf::from)
}

fn parse_networks(text: &str) -> Result<Vec<Network>, String> {
    text.split(',').map(Network::parse).collect()
}

fn parse_format(text: &str) -> Result<Format, String> {
    match text {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        _ => Err("give text or json".to_owned()),
    }
}

fn millis(given: &ParsedFlags, name: &str, least: u64, most: u64) -> Result<Duration, BadFlag> {
    given.parse(name, number_in_range(least, most)).map(Duration::from_millis)
}
