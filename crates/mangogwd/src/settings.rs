//! The settings of a daemon.

use crate::flags::{self, BadFlag, Flag, Given, between};
use crate::logs::Format;
use mangogw_model::Zone;
use std::ffi::OsStr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Every flag of `mangogwd`.
pub const FLAGS: &[Flag] = &[
    Flag { group: "Place", name: "zone", value: "ZONE", default: "zone-1", help: "availability zone of this host" },
    Flag { group: "Place", name: "host-id", value: "N", default: "1", help: "id of this host, unique in the cluster" },
    Flag {
        group: "Place",
        name: "listen",
        value: "IP:PORT",
        default: "127.0.0.1:7070",
        help: "callers, targets, operators",
    },
    Flag { group: "State", name: "catalogue", value: "FILE", default: "", help: "catalogue to start with, TOML" },
    Flag { group: "Limits", name: "requests", value: "N", default: "20000", help: "open requests at once" },
    Flag {
        group: "Limits",
        name: "send-ms",
        value: "MS",
        default: "10000",
        help: "time a sender has for a whole request",
    },
    Flag {
        group: "Targets",
        name: "lease-ms",
        value: "MS",
        default: "4000",
        help: "time a target is trusted after a heartbeat",
    },
    Flag {
        group: "Targets",
        name: "target-networks",
        value: "LIST",
        default: "127.0.0.0/8,::1/128,10.0.0.0/8,172.16.0.0/12,192.168.0.0/16",
        help: "networks that targets may announce addresses in",
    },
    Flag {
        group: "Stopping",
        name: "notice-ms",
        value: "MS",
        default: "1000",
        help: "time between not ready and no longer accepting",
    },
    Flag {
        group: "Stopping",
        name: "drain-ms",
        value: "MS",
        default: "60000",
        help: "longest wait for work in flight",
    },
    Flag { group: "Logs", name: "log", value: "FILTER", default: "info", help: "level, or module=level list" },
    Flag { group: "Logs", name: "log-format", value: "FORMAT", default: "text", help: "text or json" },
    Flag { group: "Other", name: "check", value: "", default: "", help: "check the settings and exit" },
    Flag { group: "Other", name: "help", value: "", default: "", help: "print this and exit" },
    Flag { group: "Other", name: "version", value: "", default: "", help: "print the version and exit" },
];

/// The checked settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The zone of the host.
    pub zone: Zone,
    /// The id of the host.
    pub host: u64,
    /// Where callers, targets and operators connect.
    pub listen: SocketAddr,
    /// The catalogue to start with.
    pub catalogue: Option<PathBuf>,
    /// Open requests at once.
    pub requests: usize,
    /// The time a sender has for a whole request.
    pub send: Duration,
    /// The time a target is trusted after a heartbeat.
    pub lease: Duration,
    /// Networks that targets may announce addresses in.
    pub networks: Vec<Network>,
    /// The time between not ready and no longer accepting.
    pub notice: Duration,
    /// The longest wait for work in flight at the stop.
    pub drain: Duration,
    /// The filter of the log.
    pub log: String,
    /// The shape of log lines.
    pub format: Format,
    /// What is asked for besides running.
    pub only: Option<Only>,
}

/// What a command line asks for instead of running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Only {
    /// Check the settings.
    Check,
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// A network in the form `IP/BITS`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Network {
    address: u128,
    mask: u128,
    v4: bool,
}

impl Network {
    /// Reads `IP/BITS`.
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
        let wrong = || format!("{text:?} is no network; give IP/BITS, such as 10.0.0.0/8");
        let (address, bits) = text.trim().split_once('/').ok_or_else(wrong)?;
        let address = address.parse().map_err(|_bad| wrong())?;
        let bits: u32 = bits.parse().map_err(|_bad| wrong())?;
        let (number, v4) = number(address);
        let width: u32 = if v4 { 32 } else { 128 };
        let host = width.checked_sub(bits).ok_or_else(wrong)?;
        let mask = u128::MAX.checked_shl(host).unwrap_or(0);
        Ok(Self { address: number & mask, mask, v4 })
    }

    /// True if the address is in the network.
    pub fn contains(&self, address: std::net::IpAddr) -> bool {
        let (number, v4) = number(address);
        v4 == self.v4 && number & self.mask == self.address
    }
}

fn number(address: std::net::IpAddr) -> (u128, bool) {
    match address {
        std::net::IpAddr::V4(v4) => (u128::from(v4.to_bits()), true),
        std::net::IpAddr::V6(v6) => (v6.to_bits(), false),
    }
}

impl Settings {
    /// Reads and checks the command line; `env` looks up environment variables.
    ///
    /// # Errors
    /// [`BadFlag`], which names the flag or variable, its value and what to do.
    pub fn parse<I>(args: I, env: &dyn Fn(&str) -> Option<String>) -> Result<Self, BadFlag>
    where
        I: IntoIterator,
        I::Item: AsRef<OsStr>,
    {
        let given = flags::parse(FLAGS, args, env)?;
        match given.free.first() {
            Some(extra) => Err(BadFlag::Value {
                origin: "argument".to_owned(),
                value: extra.clone(),
                reason: "mangogwd takes flags only; see --help".to_owned(),
            }),
            None => Self::check(&given),
        }
    }

    fn check(given: &Given) -> Result<Self, BadFlag> {
        Ok(Self {
            zone: given.read("zone", zone)?,
            host: given.read("host-id", between(1, 1 << 40))?,
            listen: given.read("listen", address)?,
            catalogue: Some(given.text("catalogue")).filter(|path| !path.is_empty()).map(PathBuf::from),
            requests: given.read("requests", between(1, 10_000_000))? as usize,
            send: millis(given, "send-ms", 10, 600_000)?,
            lease: millis(given, "lease-ms", 100, 5_000)?,
            networks: given.read("target-networks", networks)?,
            notice: millis(given, "notice-ms", 0, 60_000)?,
            drain: millis(given, "drain-ms", 0, 3_600_000)?,
            log: given.text("log").to_owned(),
            format: given.read("log-format", format)?,
            only: only(given),
        })
    }
}

fn only(given: &Given) -> Option<Only> {
    let asked = [("help", Only::Help), ("version", Only::Version), ("check", Only::Check)];
    asked.into_iter().find(|(name, _)| given.is_set(name)).map(|(_, only)| only)
}

fn zone(text: &str) -> Result<Zone, String> {
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    match text.len() {
        1..=63 if text.chars().all(fits) => Ok(Zone::from(text)),
        _ => Err("give 1 to 63 lower-case letters, digits and dashes, such as regina-a".to_owned()),
    }
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_bad| "give an IP number and a port, such as 127.0.0.1:7070".to_owned())
}

fn networks(text: &str) -> Result<Vec<Network>, String> {
    text.split(',').map(Network::parse).collect()
}

fn format(text: &str) -> Result<Format, String> {
    match text {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        _ => Err("give text or json".to_owned()),
    }
}

fn millis(given: &Given, name: &str, least: u64, most: u64) -> Result<Duration, BadFlag> {
    given.read(name, between(least, most)).map(Duration::from_millis)
}
