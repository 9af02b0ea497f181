//! A member as the other state machines see it.

use mangogw_model::{HostId, Incarnation, Zone};

/// One member of the cluster; made by [`Members::member_infos`](crate::members::Members::member_infos).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// The host.
    pub id: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// True if a message sent to it now is expected to arrive.
    pub usable: bool,
}
