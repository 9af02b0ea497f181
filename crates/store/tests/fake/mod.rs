//! Fakes at the interfaces of the store: disks, network, clocks and clients.

mod disk;
mod world;

pub use disk::FakeDisk;
pub use world::{World, birth, settings};
