//! Grant: the text that names the owner of a target, which the target sends back with each heartbeat.

use mangogw_model::{HostId, Incarnation};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Names the owner of a target. The target keeps the last grant it received and sends it back with each heartbeat.
///
/// ```
/// use mangogw_cluster::grants::Grant;
/// use mangogw_model::{HostId, Incarnation};
///
/// let grant = Grant { epoch: 3, owner: HostId(1), incarnation: Incarnation(2), serial: 255 };
/// assert_eq!(grant.to_string(), "3-1-2-ff");
/// assert_eq!("3-1-2-ff".parse(), Ok(grant));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Increases with each change of owner.
    pub epoch: u64,
    /// Host that owns the target.
    pub owner: HostId,
    /// Incarnation of the owner.
    pub incarnation: Incarnation,
    /// Time at which the owner issued it, in microseconds of the owner's clock; 0 if another host issued it.
    pub serial: u64,
}

impl Grant {
    /// Returns true if the grant names this incarnation of this owner.
    pub(crate) const fn is_owned_by(&self, owner: HostId, incarnation: Incarnation) -> bool {
        self.owner.0 == owner.0 && self.incarnation.0 == incarnation.0
    }
}

/// The text is not a grant; a grant is four hexadecimal numbers joined by `-`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadGrant;

impl fmt::Display for Grant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}-{:x}-{:x}", self.epoch, self.owner.0, self.incarnation.0, self.serial)
    }
}

impl FromStr for Grant {
    type Err = BadGrant;

    fn from_str(text: &str) -> Result<Self, BadGrant> {
        let mut parts = text.split('-').map(|part| u64::from_str_radix(part, 16));
        match (parts.next(), parts.next(), parts.next(), parts.next(), parts.next()) {
            (Some(Ok(epoch)), Some(Ok(owner)), Some(Ok(incarnation)), Some(Ok(serial)), None) => {
                Ok(Self { epoch, owner: HostId(owner), incarnation: Incarnation(incarnation), serial })
            }
            _ => Err(BadGrant),
        }
    }
}

/// Grant that a target sends back with a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The grant that the target holds.
    pub grant: Grant,
    /// Time since the target received the grant, in milliseconds; `None` if the target does not report it.
    pub age_ms: Option<u32>,
}
