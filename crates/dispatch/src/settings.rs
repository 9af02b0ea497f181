//! What a core is opened with.

use mangogw_model::{HostId, Incarnation, Zone};
use std::time::Duration;

/// What a core is opened with.
///
/// ```
/// use mangogw_dispatch::Settings;
/// assert_eq!(Settings::default().lease.as_secs(), 4);
/// ```
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host it runs on.
    pub host: HostId,
    /// The life of the host.
    pub incarnation: Incarnation,
    /// The seed of every draw it makes.
    pub seed: u64,
    /// How long a target is trusted after a heartbeat.
    pub lease: Duration,
    /// The zone of the host; targets elsewhere are used only if they finish earlier all the same. Empty: every target
    /// counts as near.
    pub zone: Zone,
    /// What a round trip to another zone costs.
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
