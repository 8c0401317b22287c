//! The little HTTP/1.1 that the stand-ins need.

use std::io::{self, Read};
use std::net::TcpStream;

/// Head and body of a message.
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Header lines.
    pub headers: Vec<(String, String)>,
    /// Body, if it has a length.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Length of the body, as the head tells it.
    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return if head.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").to_string();
    let headers = lines.filter_map(|l| l.split_once(':'));
    let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string())).collect();
    Ok(Some(Message { first, headers, body: Vec::new() }))
}

/// Reads a whole message with a length; `None` at the end of the connection.
pub fn read(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream)? else {
        return Ok(None);
    };
    read_body(stream, &mut message)?;
    Ok(Some(message))
}

/// Reads the body that a head announces.
pub fn read_body(stream: &mut TcpStream, message: &mut Message) -> io::Result<()> {
    let mut body = vec![0; message.length()];
    stream.read_exact(&mut body)?;
    message.body = body;
    Ok(())
}
