//! A parsed text as a tree that remembers where each value stood; TOML and JSON are both read into it.

/// A value and the byte offset it begins at.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) offset: usize,
    pub(crate) value: Value,
}

/// The values a catalogue can hold.
#[derive(Debug, Clone)]
pub(crate) enum Value {
    Table(Vec<Member>),
    Count(u64),
    Ratio(f64),
    Flag(bool),
    Text(String),
    /// Any other value, by the name of its type.
    Other(&'static str),
}

/// A key of a table with its value.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) offset: usize,
    pub(crate) node: Node,
}

/// A fault of the text itself, before its meaning is looked at.
#[derive(Debug, Clone)]
pub(crate) struct SyntaxError {
    pub(crate) offset: usize,
    pub(crate) reason: String,
}

impl Value {
    /// The name of the type, for people.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Table(_) => "a table",
            Self::Count(_) => "a whole number",
            Self::Ratio(_) => "a fraction",
            Self::Flag(_) => "true or false",
            Self::Text(_) => "a text",
            Self::Other(kind) => kind,
        }
    }
}
