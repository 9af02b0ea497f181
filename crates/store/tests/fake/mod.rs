//! Fakes at the interfaces of the store: disks, network, clocks and clients.

pub mod disk;
pub mod world;
