//! Small HTTP/1.1 pieces over plain sockets, so that the stand-ins can break off anywhere.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Head of a request or response; names are in lower case.
#[derive(Clone, Debug, Default)]
pub(super) struct Head {
    pub(super) start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Second word of the start line: the path of a request.
    pub(super) fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub(super) fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|t| t.contains("chunked"))
    }

    fn length(&self) -> io::Result<Option<usize>> {
        self.get("content-length").map(|l| l.parse().map_err(io::Error::other)).transpose()
    }

    pub(super) fn closes(&self) -> bool {
        self.get("connection").is_some_and(|c| c.to_ascii_lowercase().contains("close"))
    }
}

/// A connection.
pub(super) struct Wire {
    pub(super) input: BufReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
}

impl Wire {
    pub(super) fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (input, output) = stream.into_split();
        Ok(Self { input: BufReader::new(input), output })
    }

    pub(super) async fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect(address).await?)
    }

    pub(super) async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.output.write_all(bytes).await
    }

    async fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        match self.input.read_line(&mut line).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ if line.ends_with('\n') => Ok(line.trim_end_matches(['\r', '\n']).to_owned()),
            _ => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// Reads a head. The end of the connection before it is `UnexpectedEof`.
    pub(super) async fn head(&mut self) -> io::Result<Head> {
        let mut head = Head { start: self.line().await?, headers: Vec::new() };
        loop {
            let line = self.line().await?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Waits until the peer closes. Bytes that come first end the wait for good.
    pub(super) async fn closed(&mut self) {
        if self.input.fill_buf().await.is_ok_and(|b| !b.is_empty()) {
            std::future::pending::<()>().await;
        }
    }
}

/// Reads a body piece by piece.
pub(super) struct Body {
    is_chunked: bool,
    /// Bytes left; `None` if the body ends with the connection.
    left: Option<usize>,
}

impl Body {
    pub(super) fn of_request(head: &Head) -> io::Result<Self> {
        let left = Some(head.length()?.unwrap_or(0));
        Ok(Self { is_chunked: head.is_chunked(), left })
    }

    pub(super) fn of_response(head: &Head) -> io::Result<Self> {
        let is_empty = matches!(head.status(), 204 | 304);
        let left = if is_empty { Some(0) } else { head.length()? };
        Ok(Self { is_chunked: head.is_chunked(), left })
    }

    /// Next piece; `None` at the proper end.
    pub(super) async fn next(&mut self, wire: &mut Wire) -> io::Result<Option<Vec<u8>>> {
        if self.is_chunked {
            let line = wire.line().await?;
            let digits = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(digits, 16).map_err(io::Error::other)?;
            if size == 0 {
                while !wire.line().await?.is_empty() {}
                return Ok(None);
            }
            let mut data = vec![0; size + 2];
            wire.input.read_exact(&mut data).await?;
            data.truncate(size);
            return Ok(Some(data));
        }
        if self.left == Some(0) {
            return Ok(None);
        }
        let mut data = vec![0; self.left.unwrap_or(usize::MAX).min(1 << 14)];
        let count = wire.input.read(&mut data).await?;
        if count == 0 {
            let is_end = self.left.is_none();
            return if is_end { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        data.truncate(count);
        self.left = self.left.map(|l| l - count);
        Ok(Some(data))
    }

    /// Reads what is left.
    pub(super) async fn rest(&mut self, wire: &mut Wire) -> io::Result<Vec<u8>> {
        let mut all = Vec::new();
        while let Some(data) = self.next(wire).await? {
            all.extend(data);
        }
        Ok(all)
    }
}

/// A whole response with a length.
pub(super) fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One chunk of a chunked body.
pub(super) fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
