//! The decision core: which task starts where, when, and what is refused.
//!
//! [`Dispatch`] does no I/O and reads no clock: time, identity and seed are passed in, and what is to be done comes
//! out as [`Action`]s. Its tables are entries, targets, tasks and attempts; its systems run over them when an event
//! comes in, and on [`Dispatch::tick`] when [`Dispatch::next_wakeup`] says that something is due.
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
mod tasks;
mod timers;
mod view;
mod work;

pub use action::{Action, AttemptReport, End, Refusal};
pub use dispatch::Dispatch;
pub use eject::EjectionReason;
pub use limits::LimitShare;
pub use settings::Settings;
pub use view::{EntryView, TargetState, TargetView, Waste};
pub use work::{EntryKey, RepeatPolicy, TargetKey, TaskKey, TaskSpec};
