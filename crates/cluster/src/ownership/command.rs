//! Commands in the replicated log that change the ownership table.

use super::{Holder, RangeId};
use mangogw_model::Zone;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change of the ownership table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Creates the table, once.
    Initialize {
        /// Number of ranges of hashed keys.
        hashed_ranges: u32,
        /// Number of ranges of each zone.
        pinned_ranges: u32,
        /// Zones known from the start.
        zones: Vec<Zone>,
    },
    /// Adds the ranges of a zone.
    AddZone {
        /// Zone that gets ranges.
        zone: Zone,
    },
    /// Assigns a range to new holders if its epoch is still `epoch`.
    Assign {
        /// Range that gets new holders.
        range: RangeId,
        /// The epoch that is replaced.
        epoch: u64,
        /// The new owner, then its followers.
        holders: Vec<Holder>,
    },
    /// Every holder of `epoch` has every record; they may act from now on.
    MarkReady {
        /// Range whose holders are ready.
        range: RangeId,
        /// The epoch that is ready.
        epoch: u64,
    },
    /// An operator declares all prior holders dead. Unknown keys are refused until the lost records would have expired.
    ForgetPrior {
        /// Range whose prior holders are declared dead.
        range: RangeId,
        /// The epoch that waits for the prior holders.
        epoch: u64,
    },
}

/// The bytes are not a valid command or table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadCommand;

impl fmt::Display for BadCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes are not a valid ownership command or table")
    }
}

impl std::error::Error for BadCommand {}

impl Command {
    /// Encodes the command for the log.
    ///
    /// ```
    /// use mangogw_cluster::ownership::{Command, RangeId};
    ///
    /// let command = Command::MarkReady { range: RangeId(3), epoch: 2 };
    /// assert_eq!(Command::decode(&command.encode()), Ok(command));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("encoding an ownership command can't fail")
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// [`BadCommand`] if the bytes are not a valid command.
    pub fn decode(bytes: &[u8]) -> Result<Self, BadCommand> {
        postcard::from_bytes(bytes).map_err(|_error| BadCommand)
    }
}
