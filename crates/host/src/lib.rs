//! One mangogw host as a deterministic state machine without I/O.
//!
//! A [`Host`] takes requests, messages, answers, synced writes and ticks as inputs, and returns [`Effect`]s that the
//! shell carries out. The daemon, the tests and any other driver run the same code. `docs/design/seam.md` describes
//! this interface.
//!
//! ```
//! use mangogw_host::{Caller, Effect, Host, HostRequest, Reply, Settings};
//! use mangogw_model::{Code, Time};
//!
//! let mut host = Host::open(Settings::default(), None, Time::ZERO);
//! host.on_request(Time::ZERO, Caller(1), HostRequest::run("gate-scan", b"{}"));
//! let effects = host.drain();
//! let refused = |effect: &Effect| matches!(effect, Effect::Reply { reply: Reply::Refused(no), .. }
//!     if no.code == Code::NotReady);
//! assert!(effects.iter().any(refused));
//! ```

mod calls;
mod control;
mod effect;
mod group;
mod host;
mod limits;
mod message;
mod operate;
mod peers;
mod relay;
mod request;
mod run;
mod settings;
mod spread;
mod submissions;
mod targets;
mod tasks;
mod view;

pub use effect::{Answer, AttemptOutcome, Caller, Effect, Lease, Refused, Reply, TaskStart};
pub use group::GroupMessage;
pub use host::Host;
pub use message::Message;
pub use operate::{Call, CallKind, ControlQuery, OperatorReply};
pub use relay::{RelayMessage, RelayRequest};
pub use request::{HostRequest, JobRequest, TaskRequest};
pub use settings::Settings;
pub use spread::{CatalogueState, SpreadMessage, Update, Versions};
pub use view::{HostView, StatusView, TargetView};
