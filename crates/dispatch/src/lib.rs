//! Decision core: decides which task starts on which target and when, and which tasks are refused.
//!
//! [`Dispatch`] does no I/O and reads no clock: time, identity and seed are passed in, and [`Dispatch::drain`] returns
//! the resulting [`Action`]s. It holds tables of entries, targets, tasks and attempts, and decides on each event and on
//! each call of [`Dispatch::tick`], which is due when [`Dispatch::next_wakeup`] says so.
//!
//! ```
//! use mangogw_dispatch::{Dispatch, Settings};
//! use mangogw_model::Time;
//!
//! let mut core = Dispatch::open(Settings::default());
//! core.tick(Time::ZERO);
//! assert!(core.drain().is_empty());
//! ```

mod action;
mod admit;
mod announce;
mod bits;
mod dispatch;
mod eject;
mod entries;
mod expire;
mod hedge;
mod install;
mod keys;
mod limits;
mod place;
mod preempt;
mod queue;
mod report;
mod settings;
mod speed;
mod targets;
mod task_spec;
mod tasks;
mod timers;
mod view;

pub use action::{Action, AttemptReport, End, Refusal};
pub use dispatch::Dispatch;
pub use eject::EjectionReason;
pub use limits::LimitShare;
pub use settings::Settings;
pub use task_spec::{EntryKey, RepeatPolicy, TargetKey, TaskKey, TaskSpec};
pub use view::{EntryView, TargetState, TargetView, Waste};
