//! HTTP/1.1 for the stand-ins: one thread a connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Default, Clone)]
pub struct Message {
    /// First line, split at spaces.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.first().map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.start.get(1).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend(body);
    out
}

pub fn request(method: &str, target: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    if !body.is_empty() || method == "POST" || method == "PUT" {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend(body);
    out
}

/// Reads one message; `None` if the connection ended before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let bad = |text: &str| io::Error::new(io::ErrorKind::InvalidData, text.to_owned());
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        start: line.trim_end().splitn(3, ' ').map(str::to_owned).collect(),
        ..Message::default()
    };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(bad("the head broke off"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(|| bad("no header"))?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(bad("the body broke off"));
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| bad("no chunk size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            chunk.truncate(size);
            message.body.extend(chunk);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| bad("no length"))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Calls once on a new connection.
pub fn call(addr: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut connection = Connection::open(addr, timeout.min(Duration::from_secs(1)))?;
    connection.exchange(bytes, timeout)
}

/// Client connection that is kept for many requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn exchange(&mut self, bytes: &[u8], timeout: Duration) -> io::Result<Message> {
        self.send(bytes)?;
        self.receive(timeout)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    pub fn receive(&mut self, timeout: Duration) -> io::Result<Message> {
        self.reader.get_ref().set_read_timeout(Some(timeout))?;
        let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer");
        read(&mut self.reader)?.ok_or_else(ended)
    }
}

/// Serves connections, each on its own thread.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || handle(stream));
        }
    });
}
