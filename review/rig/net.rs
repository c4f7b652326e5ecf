//! Small HTTP/1.1 pieces for the stand-ins: blocking sockets, one thread a connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Head of a request or an answer; names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Second word of the start line: the path of a request, the status of an answer.
    pub fn word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or(0)
    }
}

/// A connection with buffered reading.
pub struct Wire {
    pub out: TcpStream,
    pub input: BufReader<TcpStream>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { input: BufReader::new(stream.try_clone()?), out: stream })
    }

    pub fn connect(address: &str, limit: Duration) -> io::Result<Self> {
        let address = address.parse().map_err(io::Error::other)?;
        Self::new(TcpStream::connect_timeout(&address, limit)?)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let mut head = Head::default();
        loop {
            let mut line = String::new();
            if self.input.read_line(&mut line)? == 0 {
                return match head.start.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if head.start.is_empty() {
                head.start = line.to_owned();
            } else if line.is_empty() {
                return Ok(Some(head));
            } else if let Some((name, value)) = line.split_once(':') {
                head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Next chunk of a chunked body; empty at its proper end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let mut line = String::new();
        if self.input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut data = vec![0; size + 2];
        self.input.read_exact(&mut data)?;
        data.truncate(size);
        Ok(data)
    }

    /// A whole body with a length or in chunks.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if let Some(length) = head.get("content-length") {
            let mut body = vec![0; length.parse().map_err(io::Error::other)?];
            self.input.read_exact(&mut body)?;
            return Ok(body);
        }
        let mut body = Vec::new();
        if head.get("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                body.extend(chunk);
            }
        }
        Ok(body)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.out.write_all(bytes)
    }

    pub fn limit(&self, limit: Duration) -> io::Result<()> {
        self.out.set_read_timeout(Some(limit))
    }
}

/// An answer with a length.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
        .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A server whose end closes its listener and all its connections, as that of a process does.
#[derive(Clone, Default)]
pub struct Server {
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
    address: String,
}

impl Server {
    /// Serves each connection on a thread of its own.
    pub fn open(
        handle: impl Fn(Wire) -> io::Result<()> + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self { address: listener.local_addr()?.to_string(), ..Self::default() };
        let own = server.clone();
        std::thread::spawn(move || {
            let mut number = 0;
            for stream in listener.incoming().flatten() {
                if own.ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(copy) = stream.try_clone() else { continue };
                number += 1;
                own.open.lock().unwrap().insert(number, copy);
                let (own, handle, number) = (own.clone(), handle.clone(), number);
                std::thread::spawn(move || {
                    let _ = Wire::new(stream).and_then(handle);
                    if let Some(stream) = own.open.lock().unwrap().remove(&number) {
                        let _ = stream.shutdown(Shutdown::Both);
                    }
                });
            }
        });
        Ok(server)
    }

    pub fn address(&self) -> &str {
        &self.address
    }

    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(&self.address);
        for (_, stream) in self.open.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const TABLE: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |w, i| w << 8 | u32::from(*group.get(i).unwrap_or(&0)));
        for i in 0..4 {
            let digit = TABLE[(word >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= group.len() { digit } else { '=' });
        }
    }
    text
}
