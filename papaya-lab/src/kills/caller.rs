//! A caller of the rig: issues keys, calls under them, asks for outcomes.

use crate::http::Client;
use crate::load::Credential;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Deadline of a call.
const DEADLINE: Duration = Duration::from_millis(1500);

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// It completed with this body.
    Completed(Bytes),
    NotRun(String),
    Unknown(String),
    /// The connection to the entry broke.
    Cut,
    /// No answer came within the deadline and the patience.
    Late,
    /// The answer states no outcome.
    Unstated,
}

#[derive(Clone)]
pub(crate) struct Caller {
    client: Client,
    credential: Credential,
    /// How long it waits beyond its deadline before the answer counts as missing.
    patience: Duration,
}

impl Caller {
    pub(crate) fn open(entry: SocketAddr, credential: Credential, patience: Duration) -> Self {
        Self { client: Client::open(entry), credential, patience }
    }

    /// The client, for other kinds of calls.
    pub(crate) fn client(&self) -> &Client {
        &self.client
    }

    /// Gets a key for the ledger.
    pub(crate) async fn issue(&self) -> Option<String> {
        let body = r#"{"service":"ledger","count":1}"#;
        let request = self.request(Method::POST, "/v1/keys", None, body.into());
        let Told::Completed(body) = self.send(request).await else { return None };
        let issued: serde_json::Value = serde_json::from_slice(&body).ok()?;
        issued["keys"][0].as_str().map(str::to_owned)
    }

    /// Calls the ledger.
    pub(crate) async fn call(&self, key: Option<&str>, body: Bytes) -> Told {
        let path = "/v1/services/ledger/book";
        self.send(self.request(Method::POST, path, key, body)).await
    }

    /// Asks for a key's outcome, or revokes it with `DELETE`.
    pub(crate) async fn ask(&self, method: Method, key: &str) -> Told {
        self.send(self.request(method, &format!("/v1/keys/{key}"), None, Bytes::new())).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Told {
        let answered = timeout(DEADLINE + self.patience, self.exchange(request)).await;
        answered.unwrap_or(Told::Late)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Told {
        let Ok(reply) = self.client.send(request).await else { return Told::Cut };
        let outcome = reply.header("papaya-outcome").map(str::to_owned);
        let code = reply.header("papaya-code").unwrap_or_default().to_owned();
        let Ok(body) = reply.collect().await else { return Told::Cut };
        match outcome.as_deref() {
            Some("completed") => Told::Completed(body),
            Some("not-run") => Told::NotRun(code),
            Some("unknown") => Told::Unknown(code),
            _ => Told::Unstated,
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        let Credential { workspace, token } = &self.credential;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "papaya")
            .header("papaya-workspace", workspace)
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .header("papaya-deadline", format!("{}ms", DEADLINE.as_millis()));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(body)).expect("keys and names fit a request")
    }
}
