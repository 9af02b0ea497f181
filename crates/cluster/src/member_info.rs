//! Member of the cluster in the form that the other state machines need.

use mangogw_model::{HostId, Incarnation, Zone};

/// One member of the cluster; created by [`Members::member_infos`](crate::members::Members::member_infos).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// Id of the host.
    pub id: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Availability zone of the host.
    pub zone: Zone,
    /// True if a message sent to it now is expected to arrive.
    pub usable: bool,
}
