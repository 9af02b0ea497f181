//! Types that all mangogw crates share: identifiers, catalogue entries, result codes and time.
//!
//! This crate does no I/O and reads no clock.
//!
//! ```
//! use mangogw_model::{Code, Outcome};
//!
//! let code = Code::QueueFull;
//! assert_eq!(code.outcome(), Outcome::NotRun);
//! assert_eq!(code.status(), 503);
//! ```

mod announce;
mod class;
mod code;
mod entry;
mod ids;
mod job;
mod time;

pub use announce::{Announcement, Capacity, Kind, Usage};
pub use class::Class;
pub use code::{BadCode, Code, Outcome};
pub use entry::{Entry, Hedge, Limits, Quota, Retry, Team};
pub use ids::{AttemptId, EntryName, HostId, Incarnation, Key, Owner, Rack, TargetName, TaskIndex, Version, Zone};
pub use job::{JobState, JobView, Needs, TaskView};
pub use time::Time;
