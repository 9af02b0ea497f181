//! Specification of a task to place, and the keys of entries, targets and tasks.

use mangogw_model::{Needs, Time};

slotmap::new_key_type! {
    /// Key of a catalogue entry.
    pub struct EntryKey;
    /// Key of a target.
    pub struct TargetKey;
    /// Key of a waiting or running task.
    pub struct TaskKey;
}

/// Whether a task may be started more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// At most one start is sent.
    Never,
    /// Retries and hedges are allowed within the budgets of the entry.
    Allowed,
}

/// Specification of one task to place.
#[derive(Debug, Clone, Copy)]
pub struct TaskSpec {
    /// Entry that the task belongs to.
    pub entry: EntryKey,
    /// Capacity that the task declares to need.
    pub needs: Needs,
    /// Time by which the answer must have arrived.
    pub deadline: Time,
    /// Whether the task may be started more than once.
    pub repeat: RepeatPolicy,
    /// Job that the task belongs to, whose tasks are spread over failure domains; 0 for a single request.
    pub job: u64,
}
