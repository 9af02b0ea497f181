//! Identities: names given by people, and numbers given by hosts.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! string_ids {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

macro_rules! numeric_ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

string_ids! {
    /// The name of a catalogue entry, such as `gate-scan`.
    EntryName,
    /// The idempotency key of a submission: given by the caller or minted by a host.
    Key,
    /// The team that owns a catalogue entry.
    Owner,
    /// The rack a worker stands in.
    Rack,
    /// The name a target announces itself under.
    TargetName,
    /// An availability zone, such as `regina-a`.
    Zone,
}

numeric_ids! {
    /// A host of the system, unique in the cluster; never used again after its disk was lost.
    HostId(u64),
    /// Rises each time a process starts under the same name.
    Incarnation(u64),
    /// The position of a task in its job, from 0.
    TaskIndex(u32),
    /// The version of the whole catalogue; 0 is the empty catalogue.
    Version(u64),
}

/// One try to run one task on one target, unique across hosts and restarts.
///
/// ```
/// use mangogw_model::{AttemptId, HostId, Incarnation};
///
/// let id = AttemptId::new(HostId(3), Incarnation(9), 1);
/// let text = id.to_string();
/// assert_eq!(text.parse(), Ok(id));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    host: HostId,
    incarnation: Incarnation,
    serial: u64,
}

/// A text that is no attempt id: three hexadecimal numbers joined by `-`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadAttempt;

impl AttemptId {
    /// The `serial`-th attempt of `host` in its life `incarnation`.
    pub const fn new(host: HostId, incarnation: Incarnation, serial: u64) -> Self {
        Self { host, incarnation, serial }
    }

    /// The host that made the attempt.
    pub const fn host(self) -> HostId {
        self.host
    }

    /// The life of the host in which it made the attempt.
    pub const fn incarnation(self) -> Incarnation {
        self.incarnation
    }

    /// The position among the attempts of that life.
    pub const fn serial(self) -> u64 {
        self.serial
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}-{:x}", self.host.0, self.incarnation.0, self.serial)
    }
}

impl std::str::FromStr for AttemptId {
    type Err = BadAttempt;

    fn from_str(text: &str) -> Result<Self, BadAttempt> {
        let mut parts = text.split('-').map(|part| u64::from_str_radix(part, 16));
        match (parts.next(), parts.next(), parts.next(), parts.next()) {
            (Some(Ok(host)), Some(Ok(life)), Some(Ok(serial)), None) => {
                Ok(Self::new(HostId(host), Incarnation(life), serial))
            }
            _ => Err(BadAttempt),
        }
    }
}
