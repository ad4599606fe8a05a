//! A small HTTP/1.1 reader and writer for stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head of a message, and its body if it has a length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found =
            self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name));
        found.map(|h| h.1.as_str())
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// Returns the path and query of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with what was read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::other(text.to_owned())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr, wait: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, wait)?;
        Ok(Connection::new(stream))
    }

    fn fill(&mut self, until: Option<Instant>) -> io::Result<usize> {
        if let Some(until) = until {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        let mut buf = [0; 16 << 10];
        let n = self.stream.read(&mut buf)?;
        self.rest.extend_from_slice(&buf[..n]);
        Ok(n)
    }

    /// Reads a message; `None` if the connection ends before it begins.
    pub fn read(
        &mut self,
        until: Option<Instant>,
    ) -> io::Result<Option<Message>> {
        let end = loop {
            let found = self.rest.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(at) = found {
                break at;
            }
            if self.fill(until)? == 0 {
                if self.rest.is_empty() {
                    return Ok(None);
                }
                return Err(broken("the head breaks off"));
            }
        };
        let head: Vec<u8> = self.rest.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let value = value.trim().to_owned();
                message.headers.push((name.trim().to_owned(), value));
            }
        }
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if chunked {
            message.body = self.read_chunks(until)?;
        } else {
            let length = message.header("content-length");
            let length = length.map_or(0, |v| v.parse().unwrap_or(0));
            message.body = self.read_bytes(length, until)?;
        }
        Ok(Some(message))
    }

    fn read_bytes(
        &mut self,
        length: usize,
        until: Option<Instant>,
    ) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.fill(until)? == 0 {
                return Err(broken("the body breaks off"));
            }
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn read_chunks(&mut self, until: Option<Instant>) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(at) = self.rest.windows(2).position(|w| w == b"\r\n") {
                    let line: Vec<u8> = self.rest.drain(..at + 2).collect();
                    break String::from_utf8_lossy(&line[..at]).into_owned();
                }
                if self.fill(until)? == 0 {
                    return Err(broken("a chunk breaks off"));
                }
            };
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| broken("not a chunk"))?;
            body.extend(self.read_bytes(size, until)?);
            self.read_bytes(2, until)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Writes a message with the length of its body.
    pub fn write(&mut self, message: &Message) -> io::Result<()> {
        let mut bytes = format!("{}\r\n", message.first).into_bytes();
        for (name, value) in &message.headers {
            bytes.extend(format!("{name}: {value}\r\n").bytes());
        }
        let length = message.body.len();
        bytes.extend(format!("Content-Length: {length}\r\n\r\n").bytes());
        bytes.extend(&message.body);
        self.stream.write_all(&bytes)
    }
}

/// Builds a response.
pub fn response(
    status: &str,
    headers: &[(&str, &str)],
    body: impl Into<Vec<u8>>,
) -> Message {
    Message {
        first: format!("HTTP/1.1 {status}"),
        headers: headers
            .iter()
            .map(|h| (h.0.to_owned(), h.1.to_owned()))
            .collect(),
        body: body.into(),
    }
}

/// Sends one request on a connection of its own and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + wait;
    let mut connection = Connection::open(address, wait)?;
    let mut request = Message {
        first: format!("{method} {path} HTTP/1.1"),
        body: body.to_vec(),
        ..Message::default()
    };
    if !headers.iter().any(|h| h.0.eq_ignore_ascii_case("host")) {
        request.headers.push(("Host".into(), address.to_string()));
    }
    for (name, value) in headers {
        request.headers.push(((*name).to_owned(), (*value).to_owned()));
    }
    connection.write(&request)?;
    connection.read(Some(until))?.ok_or_else(|| broken("no response"))
}
