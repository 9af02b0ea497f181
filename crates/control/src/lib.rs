//! One host of a system that runs jobs, as one value without I/O.
//!
//! A [`ControlHost`] takes calls of clients, targets and operators, messages of other hosts, outcomes of orders, and
//! the time; it returns [`Effect`]s. A host with a data folder is a member of the control group: it holds the
//! replicated [`mangogw_jobs::Ledger`] and, while it leads, the [`mangogw_jobs::Board`]. All other hosts send their
//! calls to the leader.

mod calls;
mod control_host;
mod forwarders;
mod hold;
mod host_metrics;
mod identity;
mod isolated_zone;
mod member;
mod membership;
mod message;
mod settings;

pub use calls::Caller;
pub use control_host::{ControlHost, Effect, OrderId};
pub use host_metrics::HostMetrics;
pub use identity::{address_of, enter, found, host_at, joining_state};
pub use message::{Call, HostInfo, Message, Reply};
pub use settings::Settings;
