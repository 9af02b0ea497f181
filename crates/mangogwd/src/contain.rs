//! Containment of panics: the inputs of a host share its state and tasks, which must outlive a panic over one input.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Runs `input` and returns its result; `None` if it panics, with a log line that names `what` and the reason.
///
/// ```
/// use mangogwd::contain::contain;
/// assert_eq!(contain("sum", || 1 + 1), Some(2));
/// assert_eq!(contain("index", || Vec::<u8>::new()[0]), None);
/// ```
pub fn contain<T>(what: &str, input: impl FnOnce() -> T) -> Option<T> {
    match catch_unwind(AssertUnwindSafe(input)) {
        Ok(result) => Some(result),
        Err(payload) => {
            log::error!(what, why = reason(payload.as_ref()); "contain: panic over one input");
            None
        }
    }
}

/// Returns the message of a panic.
fn reason(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("no message")
}
