//! Commands of the replicated log that change the table.

use super::{Holder, RangeId};
use mangogw_model::Zone;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change of the ownership table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Makes the table, once.
    Initialize {
        /// The number of ranges of hashed keys.
        hashed_ranges: u32,
        /// The number of ranges of each zone.
        pinned_ranges: u32,
        /// The zones known from the start.
        zones: Vec<Zone>,
    },
    /// Adds the ranges of a zone.
    AddZone {
        /// The zone.
        zone: Zone,
    },
    /// Gives a range to new holders, if its epoch still is `epoch`.
    Assign {
        /// The range.
        range: RangeId,
        /// The epoch it replaces.
        epoch: u64,
        /// The new owner, then its followers.
        holders: Vec<Holder>,
    },
    /// Says that every holder of `epoch` has every record; they may act from here on.
    MarkReady {
        /// The range.
        range: RangeId,
        /// The epoch that is ready.
        epoch: u64,
    },
    /// An operator states that all prior holders are dead. Unseen keys are refused until their records had ended.
    ForgetPrior {
        /// The range.
        range: RangeId,
        /// The epoch that waits for its prior holders.
        epoch: u64,
    },
}

/// Bytes that are no command, or no table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadCommand;

impl fmt::Display for BadCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes are no ownership command")
    }
}

impl std::error::Error for BadCommand {}

impl Command {
    /// The command as bytes of the log.
    ///
    /// ```
    /// use mangogw_cluster::ownership::{Command, RangeId};
    ///
    /// let command = Command::MarkReady { range: RangeId(3), epoch: 2 };
    /// assert_eq!(Command::decode(&command.encode()), Ok(command));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data encodes")
    }

    /// The command from its bytes.
    ///
    /// # Errors
    ///
    /// [`BadCommand`] where the bytes are no command.
    pub fn decode(bytes: &[u8]) -> Result<Self, BadCommand> {
        postcard::from_bytes(bytes).map_err(|_error| BadCommand)
    }
}
