//! Tests of the console over HTTP, among them concurrent changes by two operators.

use super::{SAMPLES, digest, next, sample};
use crate::base::http::{Body, full, serve};
use crate::console::{Console, ConsoleSettings};
use crate::fleet::{Document, parse, render};
use crate::settings::LogSettings;
use crate::telemetry::{LogFormat, Status};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A console with a fake platform and agent, which share one address.
struct Rig {
    console: Console,
    document: Arc<Mutex<String>>,
    status: Arc<Mutex<Status>>,
    _stop: DropGuard,
}

struct Page {
    status: u16,
    text: String,
}

impl Rig {
    async fn open(document: &str) -> Self {
        let listener = TcpListener::bind(ANY).await.unwrap();
        let address = listener.local_addr().unwrap();
        let document = Arc::new(Mutex::new(document.to_owned()));
        let status = Arc::new(Mutex::new(Status::default()));
        let (published, reported) = (document.clone(), status.clone());
        let answer = move |request: Request<_>| {
            let body = match request.uri().path() {
                "/status" => serde_json::to_string(&*reported.lock().unwrap()).unwrap(),
                _ => published.lock().unwrap().clone(),
            };
            std::future::ready(Response::<Body>::new(full(body)))
        };
        let stop = CancellationToken::new();
        tokio::spawn(serve(listener, answer, stop.clone()));
        let settings = ConsoleSettings {
            address: ANY,
            platform: address,
            processes: vec![address],
            operators: [("anna", "a"), ("bert", "b")].map(|(n, c)| (n.into(), digest(c))).into(),
            log: LogSettings { format: LogFormat::Text, filter: "info".into() },
        };
        let console = Console::bind(settings).await.unwrap();
        Self { console, document, status, _stop: stop.drop_guard() }
    }

    fn publish(&self, document: &str) {
        document.clone_into(&mut self.document.lock().unwrap());
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Page {
        let stream = TcpStream::connect(self.console.address()).await.unwrap();
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        let response = sender.send_request(request).await.unwrap();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        Page { status, text: String::from_utf8(body.to_vec()).unwrap() }
    }

    async fn get(&self, who: &str, path: &str) -> Page {
        let request = Request::get(path).header("authorization", credentials(who));
        self.send(request.body(Full::default()).unwrap()).await
    }

    async fn post(&self, who: &str, path: &str, fields: &[(String, String)]) -> Page {
        let body = form_urlencoded::Serializer::new(String::new()).extend_pairs(fields).finish();
        let request = Request::post(path)
            .header("authorization", credentials(who))
            .header("content-type", "application/x-www-form-urlencoded");
        self.send(request.body(Full::from(body)).unwrap()).await
    }
}

fn credentials(who: &str) -> String {
    format!("Basic {}", STANDARD.encode(format!("{who}:{}", &who[..1])))
}

/// The input fields that a browser would submit with the page's form for `action`.
fn fields(page: &Page, action: &str) -> Vec<(String, String)> {
    let start = page.text.find(&format!("action=\"{action}\"")).expect("the page has the form");
    let form = &page.text[start..];
    let form = &form[..form.find("</form>").unwrap()];
    let inputs = form.split("<input ").skip(1).map(|i| &i[..i.find('>').unwrap()]);
    let boxes = |i: &&str| !i.contains("type=\"checkbox\"") || i.contains(" checked");
    let filled = inputs.filter(boxes);
    filled
        .filter_map(|i| Some((attribute(i, "name")?, attribute(i, "value").unwrap_or_default())))
        .collect()
}

fn attribute(tag: &str, name: &str) -> Option<String> {
    let prefix = format!("{name}=\"");
    let start = tag.find(&prefix)? + prefix.len();
    let value = &tag[start..];
    let value = &value[..value.find('"')?];
    Some(
        value
            .replace("&lt;", "<")
            .replace("&gt;", ">")
            .replace("&quot;", "\"")
            .replace("&amp;", "&"),
    )
}

fn set(fields: &mut Vec<(String, String)>, name: &str, value: &str) {
    fields.retain(|(n, _)| n != name);
    fields.push((name.to_owned(), value.to_owned()));
}

/// Changes a workspace's share and returns the preview page.
async fn alter_share(rig: &Rig, who: &str, workspace: &str, share: &str) -> Page {
    let form = rig.get(who, &format!("/workspaces?item={workspace}")).await;
    let mut filled = fields(&form, "/workspaces");
    set(&mut filled, "share", share);
    rig.post(who, "/workspaces", &filled).await
}

#[rstest]
#[case::kellerbund(0)]
#[case::luto(1)]
#[tokio::test]
async fn cleaning_first_page_to_document(#[case] fleet: usize) {
    let rig = Rig::open(SAMPLES[fleet]).await;
    let current = parse(SAMPLES[fleet]).unwrap();
    let first = rig.get("anna", "/").await;
    assert!(first.text.contains("href=\"/cleaning\""), "{}", first.text);
    let empty = rig.get("anna", "/cleaning").await;
    let mut week = fields(&empty, "/propose");
    set(&mut week, "start", "2026-12-07T06:00");
    let proposed = rig.post("anna", "/propose", &week).await;
    let preview = rig.post("anna", "/cleaning", &fields(&proposed, "/cleaning")).await;
    assert_eq!(preview.status, 200, "{}", preview.text);
    let document = rig.post("anna", "/document", &fields(&preview, "/document")).await;
    let next = parse(&document.text).unwrap();
    assert_eq!((next.generation, next.parent), (current.generation + 1, current.digest));
    assert!(next.upstreams.values().all(|u| u.leaves.is_some() || !u.open));
    assert_eq!(document.text, render(&next));
}

#[tokio::test]
async fn second_operator_notified_and_merged() {
    let rig = Rig::open(SAMPLES[0]).await;
    let current = sample();
    let names: Vec<_> = current.workspaces.keys().take(2).cloned().collect();
    let annas = alter_share(&rig, "anna", &names[0], "77").await;
    let berts = alter_share(&rig, "bert", &names[1], "88").await;
    let document = rig.post("anna", "/document", &fields(&annas, "/document")).await;
    rig.publish(&document.text);
    let refused = rig.post("bert", "/document", &fields(&berts, "/document")).await;
    assert_eq!(refused.status, 409);
    let expected = ["P1908", names[0].as_str(), "77 ", names[1].as_str(), "88 "];
    assert!(expected.iter().all(|t| refused.text.contains(t)), "{}", refused.text);
    let merged = rig.post("bert", "/merge", &fields(&refused, "/merge")).await;
    let taken = rig.post("bert", "/document", &fields(&merged, "/document")).await;
    let both = parse(&taken.text).unwrap();
    assert_eq!(both.generation, current.generation + 2);
    assert_eq!((both.workspaces[&names[0]].share, both.workspaces[&names[1]].share), (77, 88));
}

#[tokio::test]
async fn invalid_change_not_offered() {
    let rig = Rig::open(SAMPLES[0]).await;
    let current: Document = sample();
    let form = rig.get("anna", "/cleaning").await;
    let mut filled = fields(&form, "/cleaning");
    for name in current.upstreams.keys() {
        set(&mut filled, &format!("from.{name}"), "2026-12-07T06:00");
        set(&mut filled, &format!("until.{name}"), "2026-12-07T08:00");
    }
    let refused = rig.post("anna", "/cleaning", &filled).await;
    assert_eq!(refused.status, 422);
    assert!(refused.text.contains("P1312") && !refused.text.contains("action=\"/document\""));
}

#[tokio::test]
async fn stale_platform_refused() {
    let rig = Rig::open(SAMPLES[0]).await;
    let ahead = next(&sample(), |_| {});
    rig.status.lock().unwrap().generation = ahead.generation;
    let name = ahead.workspaces.keys().next().unwrap();
    let refused = alter_share(&rig, "anna", name, "77").await;
    assert_eq!(refused.status, 409);
    assert!(refused.text.contains("P1909"), "{}", refused.text);
}

#[rstest]
#[case::no_mark("mark", "", 403)]
#[case::other_mark("mark", "1.00", 403)]
#[case::bad_base("base", "zz", 422)]
#[case::bad_draft("draft", "[nonsense", 422)]
#[case::bad_share("share", "<script>", 422)]
#[tokio::test]
async fn post_refused(#[case] field: &str, #[case] value: &str, #[case] status: u16) {
    let rig = Rig::open(SAMPLES[0]).await;
    let name = sample().workspaces.keys().next().unwrap().clone();
    let form = rig.get("anna", &format!("/workspaces?item={name}")).await;
    let mut filled = fields(&form, "/workspaces");
    set(&mut filled, field, value);
    let refused = rig.post("anna", "/workspaces", &filled).await;
    assert_eq!(refused.status, status, "{}", refused.text);
    assert!(!refused.text.contains("<script>"));
}

#[tokio::test]
async fn token_of_another_operator_refused() {
    let rig = Rig::open(SAMPLES[0]).await;
    let annas = alter_share(&rig, "anna", sample().workspaces.keys().next().unwrap(), "77").await;
    let refused = rig.post("bert", "/document", &fields(&annas, "/document")).await;
    assert_eq!(refused.status, 403);
}

#[tokio::test]
async fn unauthenticated_request_refused() {
    let rig = Rig::open(SAMPLES[0]).await;
    let request = Request::get("/").body(Full::default()).unwrap();
    let refused = rig.send(request).await;
    assert_eq!(refused.status, StatusCode::UNAUTHORIZED.as_u16());
    assert!(!refused.text.contains("kellerbund"));
}

#[tokio::test]
async fn platform_without_document() {
    let rig = Rig::open("not a document").await;
    let page = rig.get("anna", "/").await;
    assert_eq!(page.status, 502);
    assert!(page.text.contains("P1906"), "{}", page.text);
}
