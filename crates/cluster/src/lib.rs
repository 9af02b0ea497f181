//! What makes many hosts one system, as state machines without I/O.
//!
//! - [`ownership`]: which host may start the submissions of which keys.
//! - [`records`]: the records that keep a submission from starting twice.

pub mod ownership;
pub mod records;
