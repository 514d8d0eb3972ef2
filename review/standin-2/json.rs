//! Small JSON reader and writer. Numbers keep their text.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

pub fn num(value: u64) -> Json {
    Json::Num(value.to_string())
}

pub fn str(value: &str) -> Json {
    Json::Str(value.to_owned())
}

pub fn obj(fields: Vec<(&str, Json)>) -> Json {
    Json::Obj(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn u64(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn parse(bytes: &[u8]) -> Result<Json, String> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.space();
        if parser.at == bytes.len() {
            Ok(value)
        } else {
            Err(format!("bytes follow at {}", parser.at))
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Num(text) => f.write_str(text),
            Json::Str(text) => quote(f, text),
            Json::Arr(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_str("]")
            }
            Json::Obj(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    quote(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn quote(f: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 32 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Result<u8, String> {
        self.space();
        self.bytes.get(self.at).copied().ok_or_else(|| "early end".to_owned())
    }

    fn word(&mut self, word: &str, value: Json) -> Result<Json, String> {
        if self.bytes[self.at..].starts_with(word.as_bytes()) {
            self.at += word.len();
            Ok(value)
        } else {
            Err(format!("unknown word at {}", self.at))
        }
    }

    fn value(&mut self) -> Result<Json, String> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.peek()? == b'}' {
                    self.at += 1;
                    return Ok(Json::Obj(fields));
                }
                loop {
                    if self.peek()? != b'"' {
                        return Err(format!("no name at {}", self.at));
                    }
                    let name = self.string()?;
                    if self.peek()? != b':' {
                        return Err(format!("no colon at {}", self.at));
                    }
                    self.at += 1;
                    fields.push((name, self.value()?));
                    match self.peek()? {
                        b',' => self.at += 1,
                        b'}' => {
                            self.at += 1;
                            return Ok(Json::Obj(fields));
                        }
                        _ => return Err(format!("no comma at {}", self.at)),
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.peek()? == b']' {
                    self.at += 1;
                    return Ok(Json::Arr(items));
                }
                loop {
                    items.push(self.value()?);
                    match self.peek()? {
                        b',' => self.at += 1,
                        b']' => {
                            self.at += 1;
                            return Ok(Json::Arr(items));
                        }
                        _ => return Err(format!("no comma at {}", self.at)),
                    }
                }
            }
            b'"' => Ok(Json::Str(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let from = self.at;
                while self.at < self.bytes.len()
                    && matches!(self.bytes[self.at], b'0'..=b'9' | b'+' | b'-' | b'.' | b'e' | b'E')
                {
                    self.at += 1;
                }
                if from == self.at {
                    return Err(format!("no value at {from}"));
                }
                Ok(Json::Num(String::from_utf8_lossy(&self.bytes[from..self.at]).into_owned()))
            }
        }
    }

    fn string(&mut self) -> Result<String, String> {
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at).ok_or("open text")?;
            self.at += 1;
            match byte {
                b'"' => return Ok(String::from_utf8_lossy(&out).into_owned()),
                b'\\' => {
                    let escape = *self.bytes.get(self.at).ok_or("open text")?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4).ok_or("open text")?;
                            let digits = std::str::from_utf8(digits).map_err(|e| e.to_string())?;
                            let code = u32::from_str_radix(digits, 16).map_err(|e| e.to_string())?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}
