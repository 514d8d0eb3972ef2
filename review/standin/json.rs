//! A small JSON reader and writer. Numbers keep their text, so that they are written as read.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    /// Parses a JSON text; panics if it is invalid, as it comes from this program or the router.
    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    /// Returns a field of an object, or null.
    pub fn get(&self, name: &str) -> &Json {
        if let Json::Object(fields) = self {
            for (key, value) in fields {
                if key == name {
                    return value;
                }
            }
        }
        &NULL
    }

    pub fn set(&mut self, name: &str, value: Json) {
        if let Json::Object(fields) = self {
            fields.retain(|(key, _)| key != name);
            fields.push((name.to_owned(), value));
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
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

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Json {
    skip(bytes, at);
    match bytes[*at] {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                if bytes[*at] == b'}' {
                    *at += 1;
                    return Json::Object(fields);
                }
                if bytes[*at] == b',' {
                    *at += 1;
                    continue;
                }
                let Json::Text(name) = value(bytes, at) else {
                    panic!("JSON: a field without a name");
                };
                skip(bytes, at);
                assert_eq!(bytes[*at], b':', "JSON: a field without a value");
                *at += 1;
                fields.push((name, value(bytes, at)));
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                if bytes[*at] == b']' {
                    *at += 1;
                    return Json::List(items);
                }
                if bytes[*at] == b',' {
                    *at += 1;
                    continue;
                }
                items.push(value(bytes, at));
            }
        }
        b'"' => Json::Text(text(bytes, at)),
        b't' => {
            *at += 4;
            Json::Bool(true)
        }
        b'f' => {
            *at += 5;
            Json::Bool(false)
        }
        b'n' => {
            *at += 4;
            Json::Null
        }
        _ => {
            let begin = *at;
            while *at < bytes.len() && matches!(bytes[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                *at += 1;
            }
            assert!(*at > begin, "JSON: an unexpected character");
            Json::Number(String::from_utf8_lossy(&bytes[begin..*at]).into_owned())
        }
    }
}

fn text(bytes: &[u8], at: &mut usize) -> String {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match bytes[*at] {
            b'"' => {
                *at += 1;
                return String::from_utf8_lossy(&out).into_owned();
            }
            b'\\' => {
                *at += 1;
                match bytes[*at] {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let code = String::from_utf8_lossy(&bytes[*at + 1..*at + 5]).into_owned();
                        let code = u32::from_str_radix(&code, 16).unwrap_or(63);
                        let letter = char::from_u32(code).unwrap_or('?');
                        let mut buffer = [0; 4];
                        out.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
                *at += 1;
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(text) => f.write_str(text),
            Json::Text(text) => {
                f.write_str("\"")?;
                for letter in text.chars() {
                    match letter {
                        '"' => f.write_str("\\\"")?,
                        '\\' => f.write_str("\\\\")?,
                        letter if (letter as u32) < 32 => write!(f, "\\u{:04x}", letter as u32)?,
                        letter => write!(f, "{letter}")?,
                    }
                }
                f.write_str("\"")
            }
            Json::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, item)) in fields.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{}:{item}", Json::Text(name.clone()))?;
                }
                f.write_str("}")
            }
        }
    }
}
