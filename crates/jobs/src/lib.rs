//! Scheduler for jobs made of tasks, which run under leases on targets with enough free resources.
//!
//! [`Ledger`] is the state that a control group replicates: queues, targets, stored jobs and the recorded ends of their
//! tasks. [`Board`] is the leader's in-memory schedule: runs, waiting tasks and leases. Both are free of I/O: time is
//! passed in as a [`mangogw_model::Time`], and actions are returned as values.
//!
//! ```
//! use mangogw_jobs::TaskId;
//!
//! let task: TaskId = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
//! assert_eq!((task.step, task.index), (1, 17));
//! ```

mod board;
mod clock;
mod counts;
mod evacuation;
mod health;
mod ids;
mod job;
mod ledger;
mod placement;
mod policy;
mod queue;
mod resources;
mod settings;
mod target;

pub use board::{Board, JobEnd, LeasedRun, Output, Refused, Submission};
pub use clock::RemoteClock;
pub use counts::Counts;
pub use evacuation::{Evacuation, Evacuations};
pub use health::Health;
pub use ids::{BadId, JobId, RunNumber, TaskId};
pub use job::{BadJob, JobSpec, MAX_TASKS, Phase, Step};
pub use ledger::{ApplyResult, ApplyStatus, Command, EndRecord, Ledger, StoredJob};
pub use policy::{Deadlines, PriorityClass, Rank};
pub use queue::{Pool, Queue, QueueSet};
pub use resources::Resources;
pub use settings::Settings;
pub use target::{
    ActiveRun, Denial, EndedRun, Listing, ORDER_TIMEOUT, Order, OrderKind, Outcome, RunEnd, TargetKey, TargetReport,
    TargetState,
};
