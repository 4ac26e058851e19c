//! The small part of HTTP/1.1 that the stand-ins speak: messages with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::TcpStream;

const MAX_HEAD: usize = 64 * 1024;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, without its end.
    pub first_line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let text = self.first_line.split(' ').nth(1).unwrap_or_default();
        text.parse().unwrap_or(0)
    }
}

/// One end of a connection, with the bytes that were received and not used yet.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            received: Vec::new(),
        }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Receives a whole message. `None` if the other side has closed before its first byte.
    pub fn receive(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(end) = find(&self.received, b"\r\n\r\n") {
                break end + 4;
            }
            if self.received.len() > MAX_HEAD {
                return Err(io::Error::other("the head is too long"));
            }
            if !self.receive_more()? {
                if self.received.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.received.drain(..head_end).collect();
        let mut message = parse_head(&String::from_utf8_lossy(&head));
        if message.header("transfer-encoding").is_some() {
            message.body = self.receive_chunks()?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.trim().parse().map_err(io::Error::other)?;
            message.body = self.receive_exactly(length)?;
        }
        Ok(Some(message))
    }

    fn receive_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.receive_line()?;
            let size = line.split(';').next().unwrap_or_default().trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
            if size == 0 {
                while !self.receive_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.receive_exactly(size)?);
            self.receive_line()?;
        }
    }

    fn receive_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.received, b"\r\n") {
                let line: Vec<u8> = self.received.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.receive_more()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn receive_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.received.len() < length {
            if !self.receive_more()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.received.drain(..length).collect())
    }

    /// Receives some bytes. Returns false if the other side has closed.
    fn receive_more(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.received.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

fn parse_head(text: &str) -> Message {
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Message {
        first_line,
        headers: headers.collect(),
        body: Vec::new(),
    }
}

/// A response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
