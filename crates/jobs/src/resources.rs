//! Resources that tasks need and targets have.

use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, SubAssign};

/// Amount of processor, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns true if free resources of `self` are enough for `need`.
    ///
    /// ```
    /// use mangogw_jobs::Resources;
    /// let free = Resources { cpu: 1000, memory: 64, accelerators: 0 };
    /// assert!(free.can_fit(&free));
    /// assert!(!free.can_fit(&Resources { accelerators: 1, ..free }));
    /// ```
    pub const fn can_fit(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.memory <= self.memory && need.accelerators <= self.accelerators
    }

    /// Returns what is left without `used`, at least 0 of each resource.
    #[must_use]
    pub const fn saturating_sub(&self, used: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(used.cpu),
            memory: self.memory.saturating_sub(used.memory),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, rhs: Self) {
        self.cpu = self.cpu.saturating_add(rhs.cpu);
        self.memory = self.memory.saturating_add(rhs.memory);
        self.accelerators = self.accelerators.saturating_add(rhs.accelerators);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, rhs: Self) {
        *self = self.saturating_sub(&rhs);
    }
}
