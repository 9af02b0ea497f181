//! Identifiers of jobs, tasks and runs.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;

const JOB_ID_DIGITS: usize = 16;

/// Id of a job, chosen by its client and written as 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// Number of one run of a task; rises with each start of the task, also across leaders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunNumber(pub u64);

/// Id of one task of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Number of the occurrence, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// Position of the step, from 0.
    pub step: u32,
    /// Position of the task in the step, from 0.
    pub index: u32,
}

/// Text that is not the id of a job or task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a job id has 16 hexadecimal digits, a task id is JOB.TURN.STEP.INDEX"))]
pub struct BadId;

impl RunNumber {
    /// Number of low bits that count the starts of one leadership.
    const COUNTER_BITS: u32 = 28;

    /// Returns the number of the `count`th start under the fencing token `token`.
    ///
    /// ```
    /// use mangogw_jobs::RunNumber;
    /// assert!(RunNumber::new(2, 0) > RunNumber::new(1, 1_000_000));
    /// ```
    pub const fn new(token: u64, count: u64) -> Self {
        Self((token << Self::COUNTER_BITS) + count + 1)
    }

    /// Returns the fencing token under which the run was started.
    pub const fn token(self) -> u64 {
        self.0 >> Self::COUNTER_BITS
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let fits = text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        match u64::from_str_radix(text, 16) {
            Ok(number) if fits => Ok(Self(number)),
            _ => Err(BadId),
        }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(BadId)?.parse()?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or(BadId);
        let (occurrence, step, index) = (number()?, number()?, number()?);
        match parts.next() {
            None => Ok(Self { job, occurrence, step, index }),
            Some(_) => Err(BadId),
        }
    }
}
