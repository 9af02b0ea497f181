//! Fake disks, network, clocks and clients for the tests of the store.

pub mod disk;
pub mod world;
