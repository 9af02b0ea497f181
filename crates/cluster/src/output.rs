//! What a state machine asks its shell to do.

use mangogw_model::HostId;

/// One effect of a state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Output<M, E> {
    /// Send `message` to a host of the cluster; it may be lost, delayed, duplicated or reordered.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: M,
    },
    /// Something the shell or another state machine needs to know.
    Event(E),
}
