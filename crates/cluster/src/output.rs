//! Outputs of a state machine, which its shell carries out.

use mangogw_model::HostId;

/// One output of a state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Output<M, E> {
    /// Send `message` to a host of the cluster; it may be lost, delayed, duplicated or reordered.
    Send {
        /// Host that receives the message.
        to: HostId,
        /// Message of the state machine's own protocol.
        message: M,
    },
    /// An event for the shell or another state machine.
    Event(E),
}
