//! A small HTTP/1.1 reader and writer over blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A request or the head of an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The header fields, in order.
    pub headers: Vec<(String, String)>,
    /// The body of a request.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the path and query of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or(0)
    }
}

/// A connection with a read buffer.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(text.trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((key, value)) = line.split_once(':') {
                let pair = (key.trim().to_owned(), value.trim().to_owned());
                message.headers.push(pair);
            }
        }
    }

    /// Reads a request with its body.
    pub fn read_request(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        if message
            .header("Transfer-Encoding")
            .eq_ignore_ascii_case("chunked")
        {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend_from_slice(&chunk);
            }
        } else {
            let length = message.header("Content-Length").parse().unwrap_or(0);
            message.body = self.exact(length)?;
        }
        Ok(message)
    }

    /// Reads the next chunk of a body; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Ok(None);
        }
        let chunk = self.exact(size)?;
        self.exact(2)?;
        Ok(Some(chunk))
    }

    /// Reads a body of a known length.
    pub fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        self.exact(count)
    }

    /// Writes text.
    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.write(&text)
    }

    /// Writes a chunk of a body.
    pub fn chunk(&mut self, text: &str) -> io::Result<()> {
        let length = text.len();
        self.write(&format!("{length:x}\r\n{text}\r\n"))
    }

    /// Writes the end of a body in chunks.
    pub fn end_chunks(&mut self) -> io::Result<()> {
        self.write("0\r\n\r\n")
    }

    /// Returns whether the other side has closed the connection. Nothing may be due to be
    /// read from it.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0; 1];
        self.stream.set_nonblocking(true).ok();
        let peeked = self.stream.peek(&mut byte);
        self.stream.set_nonblocking(false).ok();
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
