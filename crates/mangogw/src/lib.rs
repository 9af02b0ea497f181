//! Command-line tool of mangogw, with the simulated targets and callers that it uses for demos and measurements.
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
pub mod evacuate;
pub mod load;
pub mod operators;
pub mod target;
pub mod views;
