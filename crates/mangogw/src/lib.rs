//! The command-line tool of mangogw, and the stand-ins it measures with.
//!
//! ```
//! use mangogw::target::TaskPayload;
//!
//! let payload = TaskPayload::new(80.0, "gate 3");
//! assert_eq!(TaskPayload::parse(&payload.to_bytes()).millis, 80.0);
//! ```

pub mod client;
pub mod command;
pub mod demo;
pub mod load;
pub mod operators;
pub mod target;
pub mod views;
