//! Validity rule for names of entries, owners and principals.

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The rule in words, as faults and refusals state it.
pub const NAME_RULE: &str = "a name is 1 to 64 of a-z, 0-9 and '-', begins with a letter and does not end with '-'";

/// Returns true if `text` is a valid name for an entry, an owner or a principal.
///
/// ```
/// use mangogw_catalogue::valid_name;
///
/// assert!(valid_name("gate-scan"));
/// assert!(!valid_name("Gate scan"));
/// ```
pub fn valid_name(text: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let first = text.as_bytes().first().is_some_and(u8::is_ascii_lowercase);
    first && text.len() <= MAX_NAME_BYTES && text.bytes().all(plain) && !text.ends_with('-')
}
