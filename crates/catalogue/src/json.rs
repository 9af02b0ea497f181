//! Parses JSON into a syntax tree.
//!
//! `RawValue` borrows from the text, so the offset of a value is its address minus the address of the text.

use crate::node::{Member, Node, SyntaxError, Value};
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use std::fmt;

/// Maximum nesting depth of tables; more than any valid catalogue has.
const MAX_TABLE_DEPTH: usize = 8;

/// Parses a JSON text; returns its tree and all syntax errors.
pub(crate) fn read(text: &str) -> (Node, Vec<SyntaxError>) {
    match serde_json::from_str::<&RawValue>(text) {
        Ok(raw) => {
            let mut errors = Vec::new();
            let node = node(text, raw.get(), 0, &mut errors);
            (node, errors)
        }
        Err(error) => (Node { offset: 0, value: Value::Table(Vec::new()) }, vec![syntax_error(text, 0, &error)]),
    }
}

fn node(text: &str, raw: &str, depth: usize, errors: &mut Vec<SyntaxError>) -> Node {
    let offset = offset(text, raw);
    let value = match raw.as_bytes().first() {
        Some(b'{') if depth < MAX_TABLE_DEPTH => table(text, raw, depth, errors),
        Some(b'{') => Value::Other("a table too deep"),
        Some(b'[') => Value::Other("a list"),
        Some(b'n') => Value::Other("null"),
        Some(b't') => Value::Flag(true),
        Some(b'f') => Value::Flag(false),
        Some(b'"') => serde_json::from_str(raw).map_or(Value::Other("a broken text"), Value::Text),
        _ => number(raw),
    };
    Node { offset, value }
}

fn number(raw: &str) -> Value {
    let ratio = || raw.parse().map_or(Value::Other("no number"), Value::Ratio);
    match raw.parse() {
        Ok(count) => Value::Count(count),
        Err(_) if raw.bytes().all(|byte| byte == b'-' || byte.is_ascii_digit()) => {
            Value::Other("a number below 0 or too large")
        }
        Err(_) => ratio(),
    }
}

fn table(text: &str, raw: &str, depth: usize, errors: &mut Vec<SyntaxError>) -> Value {
    let pairs = match serde_json::from_str::<Pairs<'_>>(raw) {
        Ok(pairs) => pairs.0,
        Err(error) => {
            errors.push(syntax_error(raw, offset(text, raw), &error));
            Vec::new()
        }
    };
    let mut members = Vec::with_capacity(pairs.len());
    for (name, value) in pairs {
        let node = node(text, value.get(), depth + 1, errors);
        members.push(Member { offset: key(text, node.offset), name, node });
    }
    Value::Table(members)
}

/// Returns the offset of the key whose value starts at offset `value`.
fn key(text: &str, value: usize) -> usize {
    let before = text[..value].trim_end().strip_suffix(':').unwrap_or_default().trim_end();
    let inner = before.strip_suffix('"').unwrap_or_default();
    let opening = |at: &usize| {
        let slashes = inner[..*at].bytes().rev().take_while(|byte| *byte == b'\\').count();
        slashes % 2 == 0
    };
    inner.rmatch_indices('"').map(|(at, _)| at).find(opening).unwrap_or(value)
}

fn offset(text: &str, part: &str) -> usize {
    part.as_ptr() as usize - text.as_ptr() as usize
}

fn syntax_error(raw: &str, base: usize, error: &serde_json::Error) -> SyntaxError {
    let start = raw.split_inclusive('\n').take(error.line().saturating_sub(1)).map(str::len).sum::<usize>();
    let reason = error.to_string();
    let reason = reason.split(" at line ").next().unwrap_or_default().to_owned();
    SyntaxError { offset: base + start + error.column().saturating_sub(1), reason }
}

/// Members of a table in the order of the text, including duplicate keys.
struct Pairs<'a>(Vec<(String, &'a RawValue)>);

impl<'de> Deserialize<'de> for Pairs<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(PairsVisitor)
    }
}

struct PairsVisitor;

impl<'de> Visitor<'de> for PairsVisitor {
    type Value = Pairs<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a table")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Pairs<'de>, A::Error> {
        let mut pairs = Vec::new();
        while let Some(pair) = map.next_entry()? {
            pairs.push(pair);
        }
        Ok(Pairs(pairs))
    }
}
