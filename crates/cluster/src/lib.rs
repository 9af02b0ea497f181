//! Cooperation of hosts in a cluster: membership, grants of targets, submission records, routing and shares of limits.
//!
//! Each part is a state machine without I/O: `open(settings, now)`, `on_message(now, from, message)`, `on_tick(now)`
//! and `drain()`, which returns the messages to send and the events to act on. Messages are `serde` types; any link may
//! lose, delay, duplicate or reorder them. A tick about every 10 ms is enough; messages are handled at once.
//!
//! - [`members`] knows the hosts and zones. Pass [`members::Members::member_infos`] to `set_hosts` of the other parts
//!   after each change of the membership and at least every 100 ms.
//! - [`grants`] receives targets' heartbeats on any host, forwards them to the owner, and notifies the owner's
//!   dispatcher which targets it may use.
//! - [`route`] chooses the host for a task.
//! - [`ownership`] decides which host may start the submissions of which keys, and [`records`] prevents a task from
//!   starting twice.
//! - [`shares`] splits limits of the whole cluster between the hosts.
//!
//! ```
//! use mangogw_cluster::grants::{Event, Grants};
//! use mangogw_cluster::members::{Host, Members};
//! use mangogw_cluster::route::{Load, Placement, Router};
//! use mangogw_cluster::{Output, grants, members, route};
//! use mangogw_model::{Announcement, Capacity, HostId, Incarnation, Kind, Time};
//! use std::time::Duration;
//!
//! // A single host.
//! let now = Time::from_millis(1_000);
//! let (id, incarnation, zone) = (HostId(1), Incarnation(1), "regina-a".into());
//! let address = "127.0.0.1:7000".parse().unwrap();
//! let host = Host { id, incarnation, address, http_address: address, zone, voter: true };
//! let mut members = Members::open(members::Settings { host: host.clone(), seeds: vec![], seed: 1 }, now);
//! let mut grants = Grants::open(&grants::Settings { id, incarnation }, now);
//! let zone_delay = Duration::from_micros(250);
//! let settings = route::Settings { id, zone: host.zone, zone_delay, remote_delay: zone_delay * 4, min_gain: 0.5, seed: 1 };
//! let mut router = Router::open(settings, now);
//! members.on_tick(now);
//! grants.set_hosts(now, members.member_infos());
//! router.set_hosts(now, &members.member_infos());
//!
//! // A target announces itself, and sends the grant back with its next heartbeat.
//! let announcement = Announcement {
//!     name: "t1".into(),
//!     address: "127.0.0.1:9000".parse().unwrap(),
//!     zone: "regina-a".into(),
//!     rack: "".into(),
//!     kind: Kind::Executor,
//!     entries: vec!["gate-scan".into()],
//!     capacity: Capacity { slots: 8, ..Capacity::default() },
//!     incarnation: Incarnation(1),
//!     running: vec![],
//!     connections: 60,
//! };
//! grants.on_heartbeat(now, announcement.clone(), None);
//! let Some(Output::Event(Event::Answered { answer, .. })) = grants.drain().pop() else { panic!() };
//! let echo = answer.grant.map(|grant| grants::Echo { grant, age_ms: Some(1) });
//! grants.on_heartbeat(now, announcement, echo);
//! assert_eq!(grants.owned_targets(now).count(), 1);
//!
//! // The dispatcher reports its load, and asks where to place a task.
//! router.set_load(now, &"gate-scan".into(), Load { slots: 8, free: 8, ..Load::default() });
//! assert_eq!(router.place(now, &"gate-scan".into()), Placement::Local);
//! ```

mod hash;
mod member_info;
mod output;

pub mod grants;
pub mod members;
pub mod ownership;
pub mod records;
pub mod route;
pub mod shares;

pub use member_info::MemberInfo;
pub use output::Output;
