//! Log lines: `time level prefix: sentence key=value …`, or the same as JSON.

use log::kv::{Error, Key, Value, VisitSource};
use serde::{Deserialize, Serialize};
use std::io::{self, Write};

/// The shape of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts logging to standard error at `level` (a filter of `env_logger`).
///
/// A second call has no effect.
pub fn open(level: &str, format: Format) {
    let mut builder = env_logger::Builder::new();
    builder.parse_filters(level);
    builder.format(move |out, record| match format {
        Format::Text => text(out, record),
        Format::Json => json(out, record),
    });
    // A second logger in one process (tests, the demo) is refused by `log`; the first one stays.
    drop(builder.try_init());
}

fn text(out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>) -> io::Result<()> {
    let stamp = out.timestamp_millis();
    write!(out, "{stamp} {:5} {}", record.level(), record.args())?;
    let mut pairs = Pairs::default();
    drop(record.key_values().visit(&mut pairs));
    for (key, value) in pairs.0 {
        write!(out, " {key}={value}")?;
    }
    writeln!(out)
}

fn json(out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>) -> io::Result<()> {
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
