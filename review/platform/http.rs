//! HTTP/1.1 over blocking sockets: reading requests and answers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request, or an answer whose first line stands in `line`.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or(String::new(), |(_, value)| unescape(value))
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1).unwrap_or("");
        status.parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let code = u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?');
                plain.push(code);
                at += 3;
            }
            b'+' => {
                plain.push(b' ');
                at += 1;
            }
            byte => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> Self {
        Self {
            stream: stream.try_clone().expect("a socket can be cloned"),
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, length: usize, into: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < length {
            if !self.fill()? {
                into.append(&mut self.buffer);
                return Ok(false);
            }
        }
        into.extend(self.buffer.drain(..length));
        Ok(true)
    }

    /// Reads a request or an answer; none at the end of the connection.
    ///
    /// An answer without a length ends with its connection; an error there leaves it incomplete.
    pub fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            line,
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Ok(Some(message));
            };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(pair);
            }
        }
        let length = message.header("content-length").parse::<usize>().ok();
        let is_chunked = message.header("transfer-encoding").contains("chunked");
        let mut body = Vec::new();
        let read = if is_chunked {
            self.chunks(&mut body)
        } else if let Some(length) = length {
            self.exactly(length, &mut body)
        } else if is_answer {
            loop {
                match self.fill() {
                    Ok(true) => {}
                    Ok(false) => break Ok(true),
                    Err(error) => break Err(error),
                }
            }
            .map(|is_whole| {
                body.append(&mut self.buffer);
                is_whole
            })
        } else {
            Ok(true)
        };
        message.body = body;
        message.is_whole = matches!(read, Ok(true));
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else {
                return Ok(false);
            };
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(false);
            };
            if length == 0 {
                return Ok(self.line()?.is_some());
            }
            if !self.exactly(length, body)? || self.line()?.is_none() {
                return Ok(false);
            }
        }
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &str, wait: Duration) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(request.as_bytes())?;
    Reader::new(&stream).message(true)
}

/// Builds an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!("Content-Length: {}\r\n\r\n{body}", body.len())
}
