//! Log output: lines of the form `time level prefix: sentence key=value …`, or the same as JSON.

use log::kv::{Error, Key, Value, VisitSource};
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;

/// Lines queued for the reader: what a busy leader logs in a few seconds.
const QUEUE_LINES: usize = 4096;

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Starts logging to standard error; `level` is a filter of `env_logger`.
///
/// A later call in the same process has no effect.
pub fn open(level: &str, format: Format) {
    start(env_logger::Builder::new(), level, format);
}

/// Starts logging to `out` through a bounded queue; `level` is a filter of `env_logger`. If the reader stops reading,
/// lines are dropped, counted and reported, and the process never blocks.
///
/// # Errors
/// Error of the operating system if the writing thread can't be started.
pub fn open_queued(level: &str, format: Format, out: impl Write + Send + 'static) -> io::Result<()> {
    let mut builder = env_logger::Builder::new();
    builder.target(env_logger::Target::Pipe(Box::new(Queue::spawn(out)?)));
    start(builder, level, format);
    Ok(())
}

/// Bounded queue of lines for a reader that may stop reading.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Returns a queue whose lines a thread of its own writes to `out`.
    ///
    /// # Errors
    /// Error of the operating system if the thread can't be started.
    pub fn spawn(mut out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queued) = sync_channel::<Vec<u8>>(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let unreported = Arc::clone(&dropped);
        thread::Builder::new().name("logs".to_owned()).spawn(move || {
            while let Ok(mut batch) = queued.recv() {
                batch.extend(queued.try_iter().take(QUEUE_LINES).flatten());
                let count = unreported.swap(0, Ordering::Relaxed);
                if count > 0 {
                    batch.extend_from_slice(format!("{{\"message\":\"logs: {count} lines dropped\"}}\n").as_bytes());
                }
                // The reader has closed the stream, and there is no other place to report that.
                if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
                    return;
                }
            }
        })?;
        Ok(Self { lines, dropped })
    }
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(buf.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start(mut builder: env_logger::Builder, level: &str, format: Format) {
    builder.parse_filters(level);
    builder.format(move |out, record| match format {
        Format::Text => write_text(out, record),
        Format::Json => write_json(out, record),
    });
    // `log` refuses a second logger in one process (tests, the demo); the first one stays.
    drop(builder.try_init());
}

fn write_text(out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>) -> io::Result<()> {
    let stamp = out.timestamp_millis();
    write!(out, "{stamp} {:5} {}", record.level(), record.args())?;
    let mut pairs = Pairs::default();
    drop(record.key_values().visit(&mut pairs));
    for (key, value) in pairs.0 {
        write!(out, " {key}={value}")?;
    }
    writeln!(out)
}

fn write_json(out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>) -> io::Result<()> {
    let stamp = out.timestamp_millis();
    let mut pairs = Pairs::default();
    drop(record.key_values().visit(&mut pairs));
    let mut line = serde_json::Map::new();
    line.insert("time".to_owned(), stamp.to_string().into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    line.extend(pairs.0.into_iter().map(|(key, value)| (key, value.into())));
    writeln!(out, "{}", serde_json::Value::Object(line))
}

#[derive(Debug, Default)]
struct Pairs(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}
