//! What goes over the wire: the JSON bodies of the HTTP interface, its header names, and the link between hosts.
//!
//! ```
//! use mangogw_model::Code;
//! use mangogw_wire::Problem;
//!
//! let problem = Problem::new(Code::QueueFull, "entry gate-scan has 10 waiting");
//! assert_eq!(problem.status, 503);
//! ```

mod body;
pub mod header;

pub use body::{BadJob, JobBody, LeaseBody, Problem, TaskBody};
