//! Header names of the HTTP interface. The reference is `docs/API.md`.

/// The attempt a task or an answer belongs to.
pub const ATTEMPT: &str = "mangogw-attempt";
/// The numbered code of an answer.
pub const CODE: &str = "mangogw-code";
/// Milliseconds left until the answer must be back.
pub const DEADLINE: &str = "mangogw-deadline-ms";
/// The entry a task belongs to.
pub const ENTRY: &str = "mangogw-entry";
/// The key under which a resent request gets the first answer again.
pub const KEY: &str = "idempotency-key";
/// Milliseconds that the lease of the task lasts.
pub const LEASE: &str = "mangogw-lease-ms";
/// Set to `true` by a target that did not start the task.
pub const NOT_STARTED: &str = "mangogw-not-started";
/// The outcome: `answered`, `failed`, `not-run` or `unknown`.
pub const OUTCOME: &str = "mangogw-outcome";
/// The key of the submission.
pub const SUBMISSION: &str = "mangogw-submission";
/// The version of the catalogue an operator's answer was made at.
pub const VERSION: &str = "mangogw-version";
/// The position of the task in its job.
pub const TASK: &str = "mangogw-task";
