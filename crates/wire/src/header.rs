//! Header names of the HTTP interface; `docs/API.md` is the reference.

/// Attempt that a task or an answer belongs to.
pub const ATTEMPT: &str = "mangogw-attempt";
/// Number of the result code of an answer.
pub const CODE: &str = "mangogw-code";
/// Time left until the deadline of the answer, in milliseconds.
pub const DEADLINE: &str = "mangogw-deadline-ms";
/// Catalogue entry that a task belongs to.
pub const ENTRY: &str = "mangogw-entry";
/// Idempotency key; a request repeated under the same key receives the first answer again.
pub const KEY: &str = "idempotency-key";
/// Duration of the task's lease, in milliseconds.
pub const LEASE: &str = "mangogw-lease-ms";
/// Set to `true` by a target that did not start the task.
pub const NOT_STARTED: &str = "mangogw-not-started";
/// Outcome: `answered`, `failed`, `not-run` or `unknown`.
pub const OUTCOME: &str = "mangogw-outcome";
/// Key of the submission.
pub const SUBMISSION: &str = "mangogw-submission";
/// Version of the catalogue at which an answer to an operator was made.
pub const VERSION: &str = "mangogw-version";
/// Position of the task in its job, starting at 0.
pub const TASK: &str = "mangogw-task";
