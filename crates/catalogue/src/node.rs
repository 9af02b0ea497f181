//! Syntax tree of a catalogue text, with the offset of each value; TOML and JSON are both parsed into it.

/// A value and the byte offset of its first character in the text.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) offset: usize,
    pub(crate) value: Value,
}

/// Types of value in a catalogue text.
#[derive(Debug, Clone)]
pub(crate) enum Value {
    Table(Vec<Member>),
    Count(u64),
    Ratio(f64),
    Flag(bool),
    Text(String),
    /// A value of a type that no field accepts, as the name of that type for a fault's reason.
    Other(&'static str),
}

/// A key of a table, its byte offset, and its value.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) offset: usize,
    pub(crate) node: Node,
}

/// A syntax error, found before the fields are interpreted.
#[derive(Debug, Clone)]
pub(crate) struct SyntaxError {
    pub(crate) offset: usize,
    pub(crate) reason: String,
}

impl Value {
    /// Name of the type, as written in the reason of a fault.
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
