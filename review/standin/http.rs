//! HTTP/1.1 messages on blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// A request or an answer that was read whole.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// One connection with the bytes that were read but not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Small answers must not wait for acknowledgements. A failure only costs time.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Result<()> {
        let mut chunk = [0; 8192];
        match self.stream.read(&mut chunk)? {
            0 => Err(Error::from(ErrorKind::UnexpectedEof)),
            len => {
                self.buffer.extend_from_slice(&chunk[..len]);
                Ok(())
            }
        }
    }

    /// Whether the peer has sent nothing of a further message.
    pub fn is_clean(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Reads a message with a `Content-Length`. An answer without one has no body.
    pub fn read(&mut self) -> Result<Message> {
        let end = loop {
            match self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message { start: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
        for line in lines {
            let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            return Err(Error::from(ErrorKind::Unsupported));
        }
        let len = message.header("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
        while self.buffer.len() < len {
            self.fill()?;
        }
        message.body = self.buffer.drain(..len).collect();
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Formats an answer.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
