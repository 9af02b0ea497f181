//! What a task needs and a target has.

use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, SubAssign};

/// An amount of processor, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Room {
    /// True if `self` is free room enough for `need`.
    ///
    /// ```
    /// use mangogw_jobs::Room;
    /// let free = Room { cpu: 1000, memory: 64, accelerators: 0 };
    /// assert!(free.fits(&free));
    /// assert!(!free.fits(&Room { accelerators: 1, ..free }));
    /// ```
    pub const fn fits(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.memory <= self.memory && need.accelerators <= self.accelerators
    }

    /// What is left after `used`; never below nothing.
    #[must_use]
    pub const fn less(&self, used: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(used.cpu),
            memory: self.memory.saturating_sub(used.memory),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

impl AddAssign for Room {
    fn add_assign(&mut self, rhs: Self) {
        self.cpu += rhs.cpu;
        self.memory += rhs.memory;
        self.accelerators += rhs.accelerators;
    }
}

impl SubAssign for Room {
    fn sub_assign(&mut self, rhs: Self) {
        *self = self.less(&rhs);
    }
}
