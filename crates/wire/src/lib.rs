//! Formats on the wire: JSON bodies and header names of the HTTP interface, and the frames of the link between hosts.
//!
//! ```
//! use mangogw_model::Code;
//! use mangogw_wire::Problem;
//!
//! let problem = Problem::new(Code::QueueFull, "entry gate-scan has 10 waiting");
//! assert_eq!(problem.status, 503);
//! ```

mod body;
#[expect(
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    clippy::allow_attributes_without_reason,
    reason = "written by tonic-build"
)]
mod generated;
pub mod header;
pub mod link;

pub use body::{AnnounceBody, BadJob, JobBody, LeaseBody, Problem, TaskBody};
pub use generated::{link_client, link_server};
