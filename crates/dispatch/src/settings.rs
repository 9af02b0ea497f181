//! Settings of a core.

use mangogw_model::{HostId, Incarnation, Zone};
use std::time::Duration;

/// Settings of a core.
///
/// ```
/// use mangogw_dispatch::Settings;
/// assert_eq!(Settings::default().lease.as_secs(), 4);
/// ```
#[derive(Debug, Clone)]
pub struct Settings {
    /// Host that the core runs on.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Seed of the core's random numbers.
    pub seed: u64,
    /// Duration of a target's lease after a heartbeat.
    pub lease: Duration,
    /// Zone of the host; targets in other zones are used only if they finish earlier in spite of
    /// [`Settings::zone_rtt`]. If empty, all targets count as in this zone.
    pub zone: Zone,
    /// Round-trip time to another zone.
    pub zone_rtt: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            host: HostId(1),
            incarnation: Incarnation(1),
            seed: 1,
            lease: Duration::from_secs(4),
            zone: Zone::default(),
            zone_rtt: Duration::from_millis(2),
        }
    }
}
