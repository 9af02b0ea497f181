//! How many hosts act as one: membership, grants of targets, submission records, relays and shares of limits.
//!
//! Every part is a state machine without I/O.
//!
//! - [`members`]: which hosts there are, and which of them live.
//! - [`grants`]: which host may use a target.
//! - [`ownership`]: which host may start the submissions of which keys.
//! - [`records`]: the records that keep a submission from starting twice.

mod hash;
mod output;
mod seat;

pub mod grants;
pub mod members;
pub mod ownership;
pub mod records;

pub use output::Output;
pub use seat::Seat;
