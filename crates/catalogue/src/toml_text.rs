//! Parses TOML into a syntax tree.

use crate::node::{Member, Node, SyntaxError, Value};
use toml::Spanned;
use toml::de::{DeFloat, DeInteger, DeTable, DeValue};

/// Parses a TOML text; returns its tree and all syntax errors.
pub(crate) fn read(text: &str) -> (Node, Vec<SyntaxError>) {
    let (root, errors) = DeTable::parse_recoverable(text);
    let syntax_errors = errors.iter().map(syntax_error).collect();
    (Node { offset: 0, value: table(root.get_ref()) }, syntax_errors)
}

fn syntax_error(error: &toml::de::Error) -> SyntaxError {
    SyntaxError { offset: error.span().map_or(0, |span| span.start), reason: error.message().to_owned() }
}

fn table(table: &DeTable<'_>) -> Value {
    let members = table.iter().map(|(key, value)| member(key.span().start, key.get_ref(), value));
    let mut members = members.collect::<Vec<_>>();
    members.sort_by_key(|member| member.offset);
    Value::Table(members)
}

fn member(offset: usize, name: &str, value: &Spanned<DeValue<'_>>) -> Member {
    let node = Node { offset: value.span().start, value: node(value.get_ref()) };
    Member { name: name.to_owned(), offset, node }
}

fn node(value: &DeValue<'_>) -> Value {
    match value {
        DeValue::Table(inner) => table(inner),
        DeValue::Integer(number) => integer(number),
        DeValue::Float(number) => float(number),
        DeValue::Boolean(flag) => Value::Flag(*flag),
        DeValue::String(text) => Value::Text(text.clone().into_owned()),
        DeValue::Array(_) => Value::Other("a list"),
        DeValue::Datetime(_) => Value::Other("a date"),
    }
}

fn integer(number: &DeInteger<'_>) -> Value {
    u64::from_str_radix(number.as_str(), number.radix())
        .map_or(Value::Other("a number below 0 or too large"), Value::Count)
}

fn float(number: &DeFloat<'_>) -> Value {
    number.as_str().parse().map_or(Value::Other("no number"), Value::Ratio)
}
