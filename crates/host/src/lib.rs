//! One host of mangogw as a value without I/O.
//!
//! A [`Host`] takes requests, messages, answers and ticks, and gives back [`Effect`]s for the shell to carry out. The
//! daemon, the tests and any other driver run the very same value. `docs/design/seam.md` describes the seam.
//!
//! ```
//! use mangogw_host::{Ask, Caller, Effect, Host, Reply, Settings};
//! use mangogw_model::{Code, Time};
//!
//! let mut host = Host::open(Settings::default(), Time::ZERO);
//! host.on_request(Time::ZERO, Caller(1), Ask::run("gate-scan", b"{}"));
//! let effects = host.drain();
//! assert!(matches!(&effects[..], [Effect::Reply { reply: Reply::Refused(no), .. }] if no.code == Code::UnknownEntry));
//! ```

mod ask;
mod effect;
mod host;
mod jobs;
mod units;

pub use ask::{Ask, Job, Task};
pub use effect::{Answer, Caller, Effect, Lease, Refused, Reply, Seen, Start};
pub use host::{Host, Settings};
