//! The daemon `mangogwd`: runs one host of mangogw on real sockets, disks and timers.
//!
//! [`mangogw_host::Host`] makes the decisions; this crate passes it the events of sockets and timers as inputs and
//! performs its effects.
//!
//! ```
//! use mangogwd::settings::Settings;
//!
//! let settings = Settings::parse(["--zone", "regina-a"], &|_| None).unwrap();
//! assert_eq!(settings.zone.as_str(), "regina-a");
//! ```

pub mod api;
pub mod budget;
pub mod clock;
pub mod contain;
pub mod disk;
pub mod flags;
pub mod gate;
pub mod links;
pub mod logs;
pub mod meters;
pub mod node;
pub mod operate;
pub mod pipeline;
pub mod pool;
pub mod server;
pub mod settings;
pub mod shell;
