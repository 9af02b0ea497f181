//! Whole host values together: seeded runs under faults, and single failures.

mod focused;
mod promises;
mod restart;
mod world;
