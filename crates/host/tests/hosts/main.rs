//! Tests of several hosts in a simulated cluster: seeded runs under faults, and single failures.

mod focused;
mod group;
mod promises;
mod restart;
mod world;
