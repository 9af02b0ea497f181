//! How many hosts act as one: membership, grants of targets, relays between hosts and shares of limits.

mod hash;
mod output;
mod seat;

pub mod grants;
pub mod members;

pub use output::Output;
pub use seat::Seat;
