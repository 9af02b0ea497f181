//! The command-line tool of mangogw, and the stand-ins it measures with.
//!
//! ```
//! use mangogw::target::Work;
//!
//! let work = Work::new(80.0, "gate 3");
//! assert_eq!(Work::parse(&work.to_bytes()).millis, 80.0);
//! ```

pub mod client;
pub mod command;
pub mod demo;
pub mod load;
pub mod operators;
pub mod target;
pub mod views;
