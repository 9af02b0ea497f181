//! A small reader of JSON, enough for what the system under test sends.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == text.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(rows) => rows.iter().find(|(name, _)| name == key).map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, word: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut rows = Vec::new();
                loop {
                    self.space();
                    match *self.bytes.get(self.at)? {
                        b'}' => {
                            self.at += 1;
                            return Some(Json::Map(rows));
                        }
                        b',' => self.at += 1,
                        _ => {
                            let Json::Text(key) = self.value()? else { return None };
                            self.space();
                            self.eat(":")?;
                            rows.push((key, self.value()?));
                        }
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    self.space();
                    match *self.bytes.get(self.at)? {
                        b']' => {
                            self.at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => self.at += 1,
                        _ => list.push(self.value()?),
                    }
                }
            }
            b'"' => {
                self.at += 1;
                let mut text = Vec::new();
                loop {
                    let byte = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match byte {
                        b'"' => return String::from_utf8(text).ok().map(Json::Text),
                        b'\\' => {
                            let escaped = *self.bytes.get(self.at)?;
                            self.at += 1;
                            match escaped {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let code = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                                    let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                                    self.at += 4;
                                    text.extend(code.to_string().bytes());
                                }
                                other => text.push(other),
                            }
                        }
                        other => text.push(other),
                    }
                }
            }
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'n' => self.eat("null").map(|()| Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }
}
