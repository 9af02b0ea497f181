//! The daemon: one host of mangogw with sockets, disks and timers around it.
//!
//! The decisions are made by [`mangogw_host::Host`]; this crate turns sockets and timers into its inputs and carries
//! out its effects.
//!
//! ```
//! use mangogwd::settings::Settings;
//!
//! let settings = Settings::parse(["--zone", "regina-a"], &|_| None).unwrap();
//! assert_eq!(settings.zone.as_str(), "regina-a");
//! ```

pub mod api;
pub mod clock;
pub mod disk;
pub mod flags;
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
