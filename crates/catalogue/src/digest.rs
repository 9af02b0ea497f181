//! An incremental digest of a catalogue's contents, which costs one hash for each value added or removed.

use crate::field::Record;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Sum of the SHA-256 digests of all records, lane by lane.
///
/// The sum does not depend on order, so a changed record costs two hashes whatever the size of the catalogue: one to
/// remove the old value, one to add the new. The digest detects copies that diverged by accident; it is no defence
/// against a peer that forges records, which the mutual TLS between hosts keeps out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u64; 4]);

impl Digest {
    pub(crate) fn add<T: Record + Serialize>(&mut self, name: &str, record: &T) {
        self.fold(name, record, u64::wrapping_add);
    }

    pub(crate) fn remove<T: Record + Serialize>(&mut self, name: &str, record: &T) {
        self.fold(name, record, u64::wrapping_sub);
    }

    fn fold<T: Record + Serialize>(&mut self, name: &str, record: &T, merge: fn(u64, u64) -> u64) {
        let bytes = postcard::to_stdvec(record).unwrap_or_default();
        let mut hash = Sha256::new();
        hash.update([T::TABLE.len() as u8, name.len() as u8]);
        hash.update(T::TABLE);
        hash.update(name);
        hash.update(bytes);
        let hash = hash.finalize();
        let (lanes, _) = hash.as_chunks::<8>();
        for (sum, lane) in self.0.iter_mut().zip(lanes) {
            *sum = merge(*sum, u64::from_le_bytes(*lane));
        }
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|lane| write!(f, "{lane:016x}"))
    }
}
