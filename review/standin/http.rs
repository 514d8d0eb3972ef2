//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the target or the status.
    pub fn word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn invalid() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "not a message")
}

fn line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end().to_owned())
}

/// Reads a message; `None` where the connection ends before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let start = line(reader)?;
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(invalid)?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&line(reader)?, 16).map_err(|_| invalid())?;
            let begin = message.body.len();
            message.body.resize(begin + size, 0);
            reader.read_exact(&mut message.body[begin..])?;
            line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| invalid())?;
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Returns the bytes of a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and returns the response.
pub fn call(address: SocketAddr, request: &[u8], wait: Duration) -> io::Result<Message> {
    let end = Instant::now() + wait;
    let stream = TcpStream::connect_timeout(&address, wait.min(Duration::from_secs(1)))?;
    let left = end.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.set_nodelay(true)?;
    (&stream).write_all(request)?;
    let mut reader = BufReader::new(stream);
    read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
