//! Tests of the catalogue and of the control state.

mod audit;
mod catalogue;
mod control;
mod decode;
mod faults;
mod fuzz_control;
mod oracle;
mod pages;
mod support;
