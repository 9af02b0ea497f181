//! Host ids, which combine an address with a number of the data folder, and the state of new data folders.

use mangogw_model::HostId;
use mangogw_store::{DurableState, FolderId, GroupId, Members};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Bits of the number below the address in a host id.
const NONCE_BITS: u32 = 16;
/// Bit that is set in the folder ids and the group id of founders, and never in random folder ids.
const FOUNDER_BIT: u64 = 1 << 62;

/// Returns the id of a host at an address. Founders and hosts without a data folder have number 0. A folder that joins
/// later has a random number, since an id must not be used again after its disk was lost.
///
/// ```
/// use mangogw_control::{address_of, host_at};
/// let host = host_at("10.0.0.7".parse().unwrap(), 3);
/// assert_eq!(address_of(host, 7720).to_string(), "10.0.0.7:7720");
/// ```
pub const fn host_at(ip: Ipv4Addr, nonce: u16) -> HostId {
    HostId(((ip.to_bits() as u64) << NONCE_BITS) | nonce as u64)
}

/// Returns the address at which a host listens for other hosts. The port is the same on all hosts.
pub fn address_of(host: HostId, port: u16) -> SocketAddr {
    SocketAddr::from((ip_of(host), port))
}

pub(crate) const fn ip_of(host: HostId) -> Ipv4Addr {
    Ipv4Addr::from_bits((host.0 >> NONCE_BITS) as u32)
}

/// Returns the state of a new data folder. At the first start of the whole system (`bootstrap`), the seeds found the
/// group; every other host waits to join. `random` is a random number.
///
/// ```
/// use mangogw_control::enter;
/// let (ip, seeds) = ("10.0.0.2".parse().unwrap(), ["10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap()]);
/// assert_eq!(enter(ip, &seeds, true, 7).members().voters.len(), 2);
/// assert!(enter(ip, &seeds, false, 7).members().voters.is_empty());
/// ```
pub fn enter(ip: Ipv4Addr, seeds: &[SocketAddr], bootstrap: bool, random: u64) -> DurableState {
    let founders: Vec<Ipv4Addr> = ips_of(seeds).collect();
    match bootstrap && founders.contains(&ip) {
        true => found(ip, &founders),
        false => joining_state(ip, random),
    }
}

/// Returns the ids of the hosts at the addresses of seeds.
pub(crate) fn hosts_at(seeds: &[SocketAddr]) -> Vec<HostId> {
    ips_of(seeds).map(|ip| host_at(ip, 0)).collect()
}

/// Returns the IPv4 addresses of seeds; hosts have no others.
fn ips_of(seeds: &[SocketAddr]) -> impl Iterator<Item = Ipv4Addr> {
    seeds.iter().filter_map(|seed| match seed.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    })
}

/// Returns the state of a founder. All founders write the same members, so they need no agreement.
///
/// ```
/// let ips = ["10.0.0.1".parse().unwrap(), "10.0.0.2".parse().unwrap()];
/// let one = mangogw_control::found(ips[0], &ips);
/// assert_eq!(one.members().voters.len(), 2);
/// assert_eq!(one.members(), mangogw_control::found(ips[1], &ips).members());
/// ```
pub fn found(ip: Ipv4Addr, founders: &[Ipv4Addr]) -> DurableState {
    let host = |ip: &Ipv4Addr| host_at(*ip, 0);
    let folder_id = |host: HostId| FolderId(FOUNDER_BIT | host.0);
    let members = Members::from_voters(founders.iter().map(|ip| (host(ip), folder_id(host(ip)))));
    let group =
        founders.iter().map(|ip| u64::from(ip.to_bits())).fold(FOUNDER_BIT, |sum, ip| sum.wrapping_mul(31) ^ ip);
    let own = host(&ip);
    DurableState::bootstrap(own, folder_id(own), GroupId(group | 1), members, bytes::Bytes::new())
}

/// Returns the state of a new data folder that waits to join a group. `random` is a random number.
pub fn joining_state(ip: Ipv4Addr, random: u64) -> DurableState {
    let nonce = ((random % u64::from(u16::MAX)) + 1) as u16;
    DurableState::joining(host_at(ip, nonce), FolderId((random >> 2) | 1))
}
