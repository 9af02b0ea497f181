//! Hashes that are the same on every host and in every version.

use mangogw_model::HostId;

/// Mixes the bits of `value` (splitmix64).
pub(crate) const fn mix(value: u64) -> u64 {
    let a = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let b = (a ^ (a >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let c = (b ^ (b >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    c ^ (c >> 31)
}

/// Returns the hash of a name (FNV-1a with a final mix).
pub(crate) fn hash_str(name: &str) -> u64 {
    mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)))
}

/// Returns the rank of `host` for `key` in rendezvous hashing; the host with the highest rank owns the key.
pub(crate) const fn score(key: u64, host: HostId) -> u64 {
    mix(key ^ mix(host.0))
}

/// Returns the host with the highest rank for `key`.
pub(crate) fn owner(key: u64, hosts: impl Iterator<Item = HostId>) -> Option<HostId> {
    hosts.max_by_key(|&host| (score(key, host), host))
}
