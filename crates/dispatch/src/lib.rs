//! The decision core: which task starts where, when, and what is refused.
//!
//! [`Dispatch`] does no I/O and reads no clock: time, identity and seed are passed in, and what is to be done comes
//! out as [`Action`]s.
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
mod dispatch;
mod work;

pub use action::{Action, End, Refusal, Report};
pub use dispatch::{Dispatch, Settings};
pub use work::{EntryKey, Repeat, TargetKey, TaskKey, Work};
