//! Bearer tokens, roles, and the shift state.

use mangogw_model::{Code, Owner};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;
use subtle::ConstantTimeEq;

/// Prefix of every token text.
const TOKEN_PREFIX: &str = "mgw";

/// Domain separator for token hashes.
const HASH_DOMAIN: &[u8] = b"mangogw token 1";

/// Public part of a token: random, never reused, and the salt of the secret's hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct TokenId(pub u128);

/// Error for a text that is neither a token id of 32 hexadecimal digits nor a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadToken;

impl fmt::Display for BadToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a token id is 32 hexadecimal digits")
    }
}

impl std::error::Error for BadToken {}

impl fmt::Display for TokenId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for TokenId {
    type Err = BadToken;

    fn from_str(text: &str) -> Result<Self, BadToken> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits);
        number.map(Self).ok_or(BadToken)
    }
}

impl From<TokenId> for String {
    fn from(id: TokenId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for TokenId {
    type Error = BadToken;

    fn try_from(text: String) -> Result<Self, BadToken> {
        text.parse()
    }
}

/// A complete token including its secret, as the holder stores it: `mgw_ID_SECRET`.
///
/// The command-line tool generates the token, so a lost response loses no secret and the control group never stores
/// one.
///
/// ```
/// use mangogw_catalogue::Token;
///
/// let token = Token::from_random(7, [1; 32]);
/// assert_eq!(token.to_text().parse::<Token>().expect("well-formed token").hash(), token.hash());
/// assert!(!format!("{token:?}").contains("0101"), "the secret is not shown");
/// ```
#[derive(Clone)]
pub struct Token {
    id: TokenId,
    secret: [u8; 32],
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Token").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Token {
    /// Builds a token from random numbers that the caller obtained from the operating system.
    pub const fn from_random(id: u128, secret: [u8; 32]) -> Self {
        Self { id: TokenId(id), secret }
    }

    /// Public part of the token.
    pub const fn id(&self) -> TokenId {
        self.id
    }

    /// Text to send as a bearer token; contains the secret.
    pub fn to_text(&self) -> String {
        format!("{TOKEN_PREFIX}_{}_{}", self.id, hex::encode(self.secret))
    }

    /// Salted hash of the secret, as the control group stores it.
    pub fn hash(&self) -> TokenHash {
        let mut hash = Sha256::new();
        hash.update(HASH_DOMAIN);
        hash.update(self.id.0.to_be_bytes());
        hash.update(self.secret);
        TokenHash(hash.finalize().into())
    }
}

impl FromStr for Token {
    type Err = BadToken;

    fn from_str(text: &str) -> Result<Self, BadToken> {
        let mut parts = text.split('_');
        let (Some(TOKEN_PREFIX), Some(id), Some(secret), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(BadToken);
        };
        let mut bytes = [0; 32];
        hex::decode_to_slice(secret, &mut bytes).map_err(|_error| BadToken)?;
        Ok(Self { id: id.parse()?, secret: bytes })
    }
}

/// Salted SHA-256 hash of a token's secret.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct TokenHash([u8; 32]);

impl TokenHash {
    /// Compares two hashes in constant time.
    pub(crate) fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl PartialEq for TokenHash {
    fn eq(&self, other: &Self) -> bool {
        self.matches(other)
    }
}

/// Permissions of the holder of a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Every operation.
    Administrator,
    /// Reads, and edits of the entries that this team owns.
    Team(Owner),
    /// Reads only.
    Viewer,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Administrator => f.write_str("administrator"),
            Self::Team(owner) => write!(f, "team {owner}"),
            Self::Viewer => f.write_str("viewer"),
        }
    }
}

/// Identity that a token authenticates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Principal {
    /// Name in the audit trail; several tokens may share a name, so that a token can be rotated.
    pub name: String,
    /// Permissions of the principal.
    pub role: Role,
}

/// Public data of a token, without its secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenView {
    /// Holder of the token.
    pub principal: Principal,
    /// Expiry time, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Time of revocation, in milliseconds since the Unix epoch; 0 if the token is not revoked.
    pub revoked_ms: u64,
}

impl TokenView {
    /// Returns true if the token is neither expired nor revoked at this time.
    pub const fn is_live(&self, now_ms: u64) -> bool {
        self.revoked_ms == 0 && now_ms < self.expires_ms
    }
}

impl fmt::Display for TokenView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}), expires at {} ms", self.principal.name, self.principal.role, self.expires_ms)?;
        match self.revoked_ms {
            0 => Ok(()),
            at => write!(f, ", revoked at {at} ms"),
        }
    }
}

/// A token as the control group stores it: public data and the hash of the secret.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredToken {
    pub(crate) hash: TokenHash,
    pub(crate) view: TokenView,
}

/// An authenticated token and its holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// Public part of the token.
    pub token: TokenId,
    /// Holder of the token.
    pub principal: Principal,
}

/// Authenticates the token in `text` against `tokens`; an unknown id takes as long as a wrong secret.
pub(crate) fn authenticate(
    tokens: &indexmap::IndexMap<TokenId, StoredToken>,
    text: &str,
    now_ms: u64,
) -> Result<Session, Code> {
    let token = text.parse::<Token>().map_err(|BadToken| Code::Unauthorized)?;
    let hash = token.hash();
    let stored = tokens.get(&token.id);
    let known = stored.map_or_else(TokenHash::default, |stored| stored.hash);
    let right = known.matches(&hash);
    match stored {
        Some(stored) if right && stored.view.is_live(now_ms) => {
            Ok(Session { token: token.id, principal: stored.view.principal.clone() })
        }
        _ => Err(Code::Unauthorized),
    }
}

/// Shift state; edits of the catalogue are refused while a shift is open.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shift {
    /// True while the shift is open.
    pub open: bool,
    /// Time of the last opening or closing, in milliseconds since the Unix epoch; 0 if there was none.
    pub since_ms: u64,
}

impl fmt::Display for Shift {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.open { "open" } else { "closed" })
    }
}
