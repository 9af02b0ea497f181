//! One host of a system that runs jobs, as one value without I/O.
//!
//! A [`Station`] takes calls of clients, targets and operators, messages of other hosts, outcomes of orders, and time;
//! it gives back [`Effect`]s. A station with a data folder is a member of the control group: it holds the replicated
//! [`mangogw_jobs::Ledger`], and while it leads, the [`mangogw_jobs::Board`]. All others hand calls to the leader.

mod calls;
mod couriers;
mod grow;
mod identity;
mod island;
mod member;
mod message;
mod settings;
mod station;
mod view;

pub use calls::Caller;
pub use identity::{address_of, enter, found, host_at, join};
pub use message::{Call, Greeting, Message, Reply};
pub use settings::Settings;
pub use station::{Effect, Station, Ticket};
pub use view::View;
