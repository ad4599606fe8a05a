//! Clients and the operator: one HTTP exchange after the other.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// An answer: its status, headers and body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let found =
            self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name));
        found.map_or("", |h| &h.1)
    }
}

/// Sends a request on a connection of its own and reads the answer; `None` if
/// there is no complete one in time.
pub fn exchange(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    wait: Duration,
) -> Option<Answer> {
    let connect = wait.min(Duration::from_secs(1));
    let stream = TcpStream::connect_timeout(&address, connect).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(wait)).ok()?;
    let mut out = stream.try_clone().ok()?;
    let mut message = head.as_bytes().to_vec();
    message.extend_from_slice(
        format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes(),
    );
    message.extend_from_slice(body);
    out.write_all(&message).ok()?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut answer = Answer { status, headers, body: Vec::new() };
    let length: usize = answer.header("content-length").parse().unwrap_or(0);
    answer.body.resize(length, 0);
    reader.read_exact(&mut answer.body).ok()?;
    Some(answer)
}
