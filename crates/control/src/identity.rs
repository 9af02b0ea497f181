//! Host ids: the address of a host and a number that is new for each data folder.

use mangogw_model::HostId;
use mangogw_store::{Birth, GroupId, Members, Stored};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Bits of the number behind the address.
const NONCE_BITS: u32 = 16;
/// Distinguishes births of folders that found a group from drawn ones.
const FOUNDER_BIT: u64 = 1 << 62;

/// The id of a host at an address. Founders and hosts without a folder have number 0; a folder that comes to a group
/// later draws a number, since an id is never used again after its disk was lost.
///
/// ```
/// use mangogw_control::{address_of, host_at};
/// let host = host_at("10.0.0.7".parse().unwrap(), 3);
/// assert_eq!(address_of(host, 7720).to_string(), "10.0.0.7:7720");
/// ```
pub const fn host_at(ip: Ipv4Addr, nonce: u16) -> HostId {
    HostId(((ip.to_bits() as u64) << NONCE_BITS) | nonce as u64)
}

/// Where a host listens for others; the port is the same on all hosts.
pub fn address_of(host: HostId, port: u16) -> SocketAddr {
    SocketAddr::from((ip_of(host), port))
}

pub(crate) const fn ip_of(host: HostId) -> Ipv4Addr {
    Ipv4Addr::from_bits((host.0 >> NONCE_BITS) as u32)
}

/// The state of a new data folder. At the first start of the whole system the seeds found the group; every other host
/// waits to be taken in. `random` is random.
///
/// ```
/// use mangogw_control::enter;
/// let (ip, seeds) = ("10.0.0.2".parse().unwrap(), ["10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap()]);
/// assert_eq!(enter(ip, &seeds, true, 7).members().voters.len(), 2);
/// assert!(enter(ip, &seeds, false, 7).members().voters.is_empty());
/// ```
pub fn enter(ip: Ipv4Addr, seeds: &[SocketAddr], bootstrap: bool, random: u64) -> Stored {
    let founders: Vec<Ipv4Addr> = ips_of(seeds).collect();
    match bootstrap && founders.contains(&ip) {
        true => found(ip, &founders),
        false => joining_state(ip, random),
    }
}

/// The hosts at the addresses of seeds.
pub(crate) fn hosts_at(seeds: &[SocketAddr]) -> Vec<HostId> {
    ips_of(seeds).map(|ip| host_at(ip, 0)).collect()
}

/// Hosts have addresses of version 4 only; another one names none.
fn ips_of(seeds: &[SocketAddr]) -> impl Iterator<Item = Ipv4Addr> {
    seeds.iter().filter_map(|seed| match seed.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    })
}

/// The state of a founder: all founders write the same members, so that nobody has to decide.
///
/// ```
/// let ips = ["10.0.0.1".parse().unwrap(), "10.0.0.2".parse().unwrap()];
/// let one = mangogw_control::found(ips[0], &ips);
/// assert_eq!(one.members().voters.len(), 2);
/// assert_eq!(one.members(), mangogw_control::found(ips[1], &ips).members());
/// ```
pub fn found(ip: Ipv4Addr, founders: &[Ipv4Addr]) -> Stored {
    let host = |ip: &Ipv4Addr| host_at(*ip, 0);
    let birth = |host: HostId| Birth(FOUNDER_BIT | host.0);
    let members = Members::of(founders.iter().map(|ip| (host(ip), birth(host(ip)))));
    let group =
        founders.iter().map(|ip| u64::from(ip.to_bits())).fold(FOUNDER_BIT, |sum, ip| sum.wrapping_mul(31) ^ ip);
    let own = host(&ip);
    Stored::founding(own, birth(own), GroupId(group | 1), members, bytes::Bytes::new())
}

/// The state of a new folder that waits to be taken into a group; `random` is random.
pub fn joining_state(ip: Ipv4Addr, random: u64) -> Stored {
    let nonce = ((random % u64::from(u16::MAX)) + 1) as u16;
    Stored::joining(host_at(ip, nonce), Birth((random >> 2) | 1))
}
