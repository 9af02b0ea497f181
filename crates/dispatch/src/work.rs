//! What the layer above asks the core to place, and the keys it knows things by.

use mangogw_model::{Needs, Time};

slotmap::new_key_type! {
    /// A catalogue entry.
    pub struct EntryKey;
    /// A target.
    pub struct TargetKey;
    /// A task that is waiting or running.
    pub struct TaskKey;
}

/// How often a task may be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// At most one start may ever leave.
    Never,
    /// Retries and hedges are allowed, within the budgets of the entry.
    Allowed,
}

/// One task to place.
#[derive(Debug, Clone, Copy)]
pub struct TaskSpec {
    /// The entry it belongs to.
    pub entry: EntryKey,
    /// What it says it needs.
    pub needs: Needs,
    /// When its answer must be back.
    pub deadline: Time,
    /// How often it may be started.
    pub repeat: RepeatPolicy,
    /// The job it belongs to, so that tasks of one job are spread; 0 for a single request.
    pub job: u64,
}
