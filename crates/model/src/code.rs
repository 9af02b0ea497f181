//! Table of the numbered result codes with their outcomes, HTTP statuses, titles and advice.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Outcome of a request or a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is complete.
    Answered,
    /// The request ran, or may have run in part, and ended without an answer.
    Failed,
    /// The request did not run and will not run.
    NotRun,
    /// The host cannot tell whether the request ran; the caller can resubmit it under the same key.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Mangogw-Outcome` header.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

macro_rules! codes {
    ($($name:ident = $number:literal, $outcome:ident, $status:literal, $title:literal, $advice:literal;)*) => {
        /// Numbered result code. `docs/CODES.md` lists all codes.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $(#[doc = $title] $name = $number,)*
        }

        impl Code {
            /// All codes, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the code with this number, or `None` if there is none.
            ///
            /// ```
            /// use mangogw_model::Code;
            /// assert_eq!(Code::from_number(1000), Some(Code::Answered));
            /// assert_eq!(Code::from_number(1), None);
            /// ```
            pub const fn from_number(number: u16) -> Option<Self> {
                match number {
                    $($number => Some(Self::$name),)*
                    _ => None,
                }
            }

            /// Returns the outcome that belongs to the code.
            pub const fn outcome(self) -> Outcome {
                match self {
                    $(Self::$name => Outcome::$outcome,)*
                }
            }

            /// Returns the HTTP status that is sent with the code.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// Returns a short description for people.
            pub const fn title(self) -> &'static str {
                match self {
                    $(Self::$name => $title,)*
                }
            }

            /// Returns advice on what the caller can do.
            pub const fn advice(self) -> &'static str {
                match self {
                    $(Self::$name => $advice,)*
                }
            }
        }
    };
}

codes! {
    // 1000: answered.
    Answered = 1000, Answered, 200, "The request was answered.", "Nothing to do.";
    Accepted = 1001, Answered, 202, "The submission was accepted.", "Read the job under its key.";
    // 1100: malformed requests.
    BadRequest = 1100, NotRun, 400, "The request is malformed.", "Correct it as the detail says.";
    BadHeader = 1101, NotRun, 400, "A header is malformed.", "Correct the header that the detail names.";
    BodyTooLarge = 1102, NotRun, 413, "The body is over the limit of the entry.", "Send a smaller body, or have the limit raised.";
    UnknownEntry = 1103, NotRun, 404, "The catalogue has no such entry.", "Check the name with `mangogw catalogue get`.";
    UnknownJob = 1104, NotRun, 404, "There is no job under this key here.", "Check the key; records are kept for a stated time.";
    KeyReused = 1105, NotRun, 409, "The key was used with another body.", "Use a new key for a new submission.";
    NoRoute = 1106, NotRun, 404, "There is no such path or method.", "See docs/API.md.";
    SlowSender = 1107, NotRun, 408, "The request was not sent in time.", "Send it again, faster.";
    TooManyTasks = 1108, NotRun, 413, "The job has too many tasks.", "Split the job.";
    // 1200: refused before any task ran.
    RateLimited = 1200, NotRun, 429, "The rate limit of the entry is used up.", "Wait for Retry-After.";
    QuotaExceeded = 1201, NotRun, 429, "The quota of the owner is used up.", "Wait for Retry-After, or have the quota raised.";
    ConcurrencyLimited = 1202, NotRun, 429, "Too many requests of the entry are running.", "Wait for Retry-After.";
    QueueFull = 1203, NotRun, 503, "The queue is full.", "Wait for Retry-After.";
    NoCapacity = 1204, NotRun, 503, "No target can finish it before its deadline.", "Wait for Retry-After, or allow a later deadline.";
    NeverFits = 1205, NotRun, 422, "No target ever announced is large enough for it.", "Ask for less, or add larger targets.";
    NoTargets = 1206, NotRun, 503, "No target serves the entry now.", "Wait for Retry-After.";
    Expired = 1207, NotRun, 504, "The deadline passed before it was started.", "Allow a later deadline.";
    Cancelled = 1208, NotRun, 409, "It was cancelled before it was started.", "Nothing to do.";
    Draining = 1209, NotRun, 503, "This host is shutting down.", "Send it to another host.";
    NotReady = 1210, NotRun, 503, "This host has no current catalogue yet.", "Send it to another host, or wait.";
    HomeUnreachable = 1211, NotRun, 503, "The home of the key can't be reached and the key was never seen.", "Wait for Retry-After, then resubmit under the same key.";
    Overloaded = 1212, NotRun, 503, "This host has too many open requests.", "Wait for Retry-After.";
    // 1300: failed after tasks ran or may have run.
    TargetFailed = 1300, Failed, 502, "The target failed.", "See the target's log; submit under a new key to run it again.";
    TargetLost = 1301, Unknown, 502, "The target was lost while it may have been running it.", "Resubmit under the same key, or check the effect.";
    DeadlinePassed = 1302, Unknown, 504, "The deadline passed while it may have been running.", "Resubmit under the same key, or check the effect.";
    AnswerTooLarge = 1303, Failed, 502, "The answer is over the limit of the entry.", "Have the limit raised.";
    AnswerCut = 1304, Failed, 502, "The target's answer was cut short.", "See the target's log.";
    JobFailed = 1305, Failed, 200, "The job failed as a whole.", "Read the failed task's code; submit under a new key to run it again.";
    CancelledRunning = 1306, Unknown, 409, "It was cancelled while it may have been running.", "Nothing to do.";
    PeerLost = 1307, Unknown, 502, "The host it was relayed to was lost.", "Resubmit under the same key.";
    HomeUnknown = 1308, Unknown, 503, "The home of the key can't be reached; it may have run.", "Resubmit under the same key later.";
    // 1400: operators' requests.
    Unauthorized = 1400, NotRun, 401, "The token is missing, unknown, expired or revoked.", "Pass a valid bearer token.";
    Forbidden = 1401, NotRun, 403, "The token's role does not allow this.", "Ask the owner or an administrator.";
    ShiftOpen = 1402, NotRun, 423, "The catalogue is closed during a shift.", "Edit it after `mangogw shift close`.";
    LostRace = 1403, NotRun, 412, "Another change was made on this version first.", "Read the current version and try again.";
    BadCatalogue = 1404, NotRun, 422, "The catalogue has faults.", "Correct each fault that is listed.";
    NeedsVersion = 1405, NotRun, 428, "The change names no version.", "Send If-Match with the version it is based on.";
    NoLeader = 1406, Unknown, 503, "The control group has no reachable leader.", "Send the change again under the same Idempotency-Key.";
    StoreFailed = 1407, Unknown, 503, "The data folder can't be written.", "Check the disk of the host, then send it again under the same Idempotency-Key.";
    ShiftState = 1408, NotRun, 409, "The shift is already in that state.", "Nothing to do.";
    UnknownVersion = 1409, NotRun, 404, "The version is not in the history.", "Choose one that `mangogw catalogue history` lists.";
    UnknownToken = 1410, NotRun, 404, "There is no token with this id.", "List the tokens with `mangogw token list`.";
    TableFull = 1411, NotRun, 507, "A bounded table of the control group is full.", "Remove what is no longer used, as the detail says.";
    // 1500: requests of targets.
    BadAnnouncement = 1500, NotRun, 422, "The announcement is not valid.", "Correct it as the detail says.";
    AddressRefused = 1501, NotRun, 403, "The announced address is not allowed.", "Announce IP:port in a network that --target-networks lists.";
    StaleIncarnation = 1502, NotRun, 409, "A later incarnation of the target has announced itself.", "Stop the older process.";
    UnknownTarget = 1503, NotRun, 404, "There is no such target.", "Announce it first.";
    // 1900: internal errors.
    Internal = 1900, Unknown, 500, "An internal error.", "Report it with the log of the host.";
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

/// Error for a number that is not a result code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadCode(u16);

impl fmt::Display for BadCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is no result code", self.0)
    }
}

impl TryFrom<u16> for Code {
    type Error = BadCode;

    fn try_from(number: u16) -> Result<Self, BadCode> {
        Self::from_number(number).ok_or(BadCode(number))
    }
}

impl Code {
    /// Returns the number, as sent in the `Mangogw-Code` header.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns true if the same request may succeed when it is sent again later.
    ///
    /// ```
    /// use mangogw_model::Code;
    /// assert!(Code::QueueFull.is_retryable());
    /// assert!(!Code::NeverFits.is_retryable());
    /// ```
    pub const fn is_retryable(self) -> bool {
        matches!(self.status(), 429 | 503)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.title())
    }
}
