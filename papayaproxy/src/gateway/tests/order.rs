//! Streams that a replica spoils, and answers that are no part of the stream that they resume.

use super::handover::open_pair;
use super::stand_ins::{
    Action, FakeServer, NOT_EXECUTED, ReceivedRequest, TestGateway, on_one_thread, reply,
};
use super::streams::{EVENTS, chunk, event, first_missing, head, unframed_head, whole_answer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::cell::Cell;

/// Streams of the property test; raise it for longer runs by hand.
const CASES: u64 = 400;

/// An error of a replica as text, with its head.
const FAILURE: &str =
    "HTTP/1.1 500 Broken\r\nX-Request-Id: r1\r\nContent-Length: 3\r\n\r\nwhy\r\n\r\n";

fn send(text: impl Into<String>) -> Action {
    Action::Send(text.into())
}

/// The decoded body of a chunked answer, and whether it has its end.
fn decode(answer: &str) -> (String, bool) {
    let (mut rest, mut body) =
        (answer.split_once("\r\n\r\n").map_or("", |(_, b)| b), String::new());
    while let Some((size, more)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return (body, true);
        }
        body.push_str(&more[..size]);
        rest = &more[size + 2..];
    }
    (body, false)
}

/// The events of a sound run up to `last`.
fn events_to(last: u64) -> String {
    (1..=last).map(event).collect()
}

fn chunked(request: &ReceivedRequest, body: &str) -> Vec<Action> {
    vec![send(head(request)), send(chunk(body)), send("0\r\n\r\n")]
}

fn of_type(request: &ReceivedRequest, media_type: &str, body: &str) -> Vec<Action> {
    let length = format!("Content-Length: {}\r\n", body.len());
    let head = head(request)
        .replace("text/event-stream", media_type)
        .replace("Transfer-Encoding: chunked\r\n", &length);
    vec![send(head + body)]
}

/// Guards against the text of an error, or its head, in the middle of a stream, and against streams
/// that look complete though the replica that was asked to go on sent nothing of them.
#[rstest]
#[case::failed(|r: &ReceivedRequest| vec![send(reply(r, "500 Broken", "why\n\n"))])]
#[case::missing(|r: &ReceivedRequest| vec![send(reply(r, "404 Missing", "why\n\n"))])]
#[case::unproven_503(|r: &ReceivedRequest| vec![send(reply(r, "503 Busy", "why\n\n"))])]
#[case::unproven_429(|r: &ReceivedRequest| vec![send(reply(r, "429 Busy", "why\n\n"))])]
#[case::refused(|_: &ReceivedRequest| vec![send(NOT_EXECUTED)])]
#[case::json(|r: &ReceivedRequest| of_type(r, "application/json", "{\"error\":\"why\"}\n\n"))]
#[case::html(|r: &ReceivedRequest| of_type(r, "text/html", "<p>why</p>\r\n\r\n<p>why</p>\n"))]
#[case::no_type(|r: &ReceivedRequest| vec![send(reply(r, "200 OK", "why\n\n"))])]
#[case::length_zero(|r: &ReceivedRequest| of_type(r, "text/event-stream", ""))]
#[case::no_event(|r: &ReceivedRequest| vec![send(head(r)), send("0\r\n\r\n")])]
#[case::comment_only(|r: &ReceivedRequest| chunked(r, ": why\n\n"))]
#[case::no_content(|r: &ReceivedRequest| vec![send(head(r).replace("200 OK", "204 None").replace("Transfer-Encoding: chunked\r\n", ""))])]
#[case::head_in_chunk(|r: &ReceivedRequest| chunked(r, FAILURE))]
#[case::head_unframed(|r: &ReceivedRequest| vec![send(unframed_head(r)), send(FAILURE), Action::Close])]
#[case::head_after_length(|r: &ReceivedRequest| of_type(r, "text/event-stream", FAILURE))]
#[case::event_without_id(|r: &ReceivedRequest| chunked(r, "event: error\ndata: why\n\n"))]
#[case::id_no_number(|r: &ReceivedRequest| chunked(r, "id: x\ndata: piece 3\n\n"))]
#[case::id_skipped(|r: &ReceivedRequest| chunked(r, &event(4)))]
#[case::run_anew_short(|r: &ReceivedRequest| chunked(r, &events_to(2)))]
fn call_stream_next_answer_no_part_cut(
    #[case] next: fn(&ReceivedRequest) -> Vec<Action>,
    #[values(false, true)] is_unframed: bool,
) {
    on_one_thread(async move {
        let first = move |r: &ReceivedRequest| match is_unframed {
            true => vec![send(unframed_head(r)), send(events_to(2) + "id: 3\nda"), Action::Close],
            false => vec![send(head(r)), send(chunk(&events_to(2))), Action::Close],
        };
        let (gateway, _replicas) = open_pair(first, next, "90").await;
        let answer = gateway.call("POST", "/stream/x", "").await;
        let (body, is_complete) = decode(&answer);
        assert_eq!(body.replace(": why\n\n", ""), events_to(2), "{answer}");
        assert!(!is_complete, "{answer}");
    });
}

/// A replica that runs the request anew instead of going on brings the rest of the stream.
#[test]
fn call_stream_run_anew_resumed() {
    on_one_thread(async {
        let first =
            |r: &ReceivedRequest| vec![send(head(r)), send(chunk(&events_to(2))), Action::Close];
        let second = |r: &ReceivedRequest| chunked(r, &events_to(EVENTS));
        let (gateway, _replicas) = open_pair(first, second, "90").await;
        let answer = gateway.call("POST", "/stream/x", "").await;
        assert_eq!(decode(&answer), (events_to(EVENTS), true), "{answer}");
    });
}

/// Guards against a stream whose last event arrives with the id of an older one, is dropped as a
/// repetition, and ends as complete.
#[test]
fn call_stream_last_id_spoiled_resumed() {
    on_one_thread(async {
        let first = |r: &ReceivedRequest| {
            let spoiled = event(EVENTS).replace(&format!("id: {EVENTS}"), "id: 2");
            chunked(r, &(events_to(EVENTS - 1) + &spoiled))
        };
        let (gateway, _replicas) = open_pair(first, whole_answer, "90").await;
        let answer = gateway.call("POST", "/stream/x", "").await;
        assert_eq!(decode(&answer), (events_to(EVENTS), true), "{answer}");
    });
}

/// Spoils event `id` as one wrong byte does.
type Spoil = fn(&str, u64) -> String;

fn wrong_id(event: &str, id: u64, wrong: u64) -> String {
    event.replace(&format!("id: {id}\n"), &format!("id: {wrong}\n"))
}

/// Guards against events that are lost, repeated or torn where one byte of an answer is wrong: an id,
/// the line end between two events, or a line end within one, in any event of any frame.
#[rstest]
#[case::id_next(|e: &str, id| wrong_id(e, id, id + 1))]
#[case::id_before(|e: &str, id| wrong_id(e, id, id - 1))]
#[case::id_far(|e: &str, id| wrong_id(e, id, 9))]
#[case::id_no_number(|e: &str, id| e.replace(&format!("id: {id}"), "id: x"))]
#[case::id_no_field(|e: &str, _| e.replace("id:", "iX:"))]
#[case::id_line_cut(|e: &str, _| e.replace("id:", "id\n"))]
#[case::id_comment(|e: &str, _| e.replace("id:", ":d:"))]
#[case::end_lost(|e: &str, _| format!("{}X", e.strip_suffix('\n').unwrap()))]
#[case::end_comment(|e: &str, _| format!("{}:", e.strip_suffix('\n').unwrap()))]
#[case::line_end_lost(|e: &str, _| format!("{}X\n", e.strip_suffix("\n\n").unwrap()))]
#[case::lines_joined(|e: &str, _| e.replace("\ndata", "Xdata"))]
#[case::lines_parted(|e: &str, _| e.replace("\ndata", "\n\nata"))]
#[case::data_no_field(|e: &str, _| e.replace("data:", "Xata:"))]
#[case::data_line_cut(|e: &str, _| e.replace(": piece", "\n piece"))]
#[case::data_parted(|e: &str, _| e.replace("piece", "pi\nce"))]
fn call_stream_byte_spoiled_resumed(
    #[case] spoil: Spoil,
    #[values(1, 2, 4, EVENTS)] at: u64,
    #[values(1, 2, EVENTS as usize)] together: usize,
) {
    on_one_thread(async move {
        let answer = move |request: &ReceivedRequest, is_spoiled: bool| {
            let text = |id: u64| match id == at && is_spoiled {
                true => spoil(&event(id), id),
                false => event(id),
            };
            let texts: Vec<String> = (first_missing(request)..=EVENTS).map(text).collect();
            let chunks = texts.chunks(together).map(|c| send(chunk(&c.concat())));
            [send(head(request))].into_iter().chain(chunks).chain([send("0\r\n\r\n")]).collect()
        };
        let count = Cell::new(0);
        let first = move |r: &ReceivedRequest| answer(r, false);
        // The first of the second request's answers is spoiled.
        let others = move |r: &ReceivedRequest| {
            count.set(count.get() + 1);
            answer(r, count.get() == 1)
        };
        let (gateway, _replicas) = open_pair(first, others, "90").await;
        for _ in 0..2 {
            let answer = gateway.call("POST", "/stream/x", "").await;
            assert_eq!(decode(&answer), (events_to(EVENTS), true), "{answer}");
        }
    });
}

/// An answer with at most one fault, cut into frames at any byte.
fn spoiled_answer(request: &ReceivedRequest, rng: &mut StdRng) -> Vec<Action> {
    let from = first_missing(request);
    let is_framed = rng.random_range(0..3) > 0;
    let mut texts: Vec<String> = (from..=EVENTS).map(event).collect();
    let at = rng.random_range(0..texts.len().max(2)).min(texts.len());
    let mut is_cut = false;
    match rng.random_range(0..20) {
        0 if at < texts.len() => {
            let id = from + at as u64;
            let wrong = (id + rng.random_range(1..9)) % 10;
            texts[at] = texts[at].replace(&format!("id: {id}"), &format!("id: {wrong}"));
        }
        1 => texts.insert(at, "x".repeat(70 << 10)),
        2 => texts.insert(at, FAILURE.to_owned()),
        3 => texts.insert(at, "data: why\n\n".to_owned()),
        4 => texts.insert(at, ": alive\n\n".to_owned()),
        6 if at < texts.len() => {
            let ends: Vec<usize> = texts[at].match_indices('\n').map(|(i, _)| i).collect();
            let end = ends[rng.random_range(0..ends.len())];
            texts[at].replace_range(end..=end, ["X", ":", "0"][rng.random_range(0..3)]);
        }
        5 => {
            // Without a frame only an end within an event shows that the answer is cut.
            texts.truncate(at);
            if !is_framed || rng.random() {
                texts.push("id: 3\nda".to_owned());
            }
            is_cut = true;
        }
        _ => {}
    }
    let text = texts.concat();
    let (mut rest, mut actions) = (text.as_str(), Vec::new());
    let longest = [1, 7, 40, 1 << 20][rng.random_range(0..4)];
    // Large faults are sent in few frames.
    let longest = if text.len() > 4096 { longest.max(4096) } else { longest };
    while !rest.is_empty() {
        let (frame, more) = rest.split_at(rng.random_range(1..=longest.min(rest.len())));
        actions.push(send(if is_framed { chunk(frame) } else { frame.to_owned() }));
        rest = more;
    }
    actions.insert(0, send(if is_framed { head(request) } else { unframed_head(request) }));
    let ends_well = is_framed && !is_cut;
    actions.push(if ends_well { send("0\r\n\r\n") } else { Action::Close });
    actions
}

/// Guards against missing, repeated or joined events, whatever bytes a replica spoils and however
/// they are framed: the caller gets a prefix of one run, and a proper end only after its last event.
#[test]
fn call_stream_spoiled_gapless_prefix() {
    on_one_thread(async {
        let script = || {
            |request: &ReceivedRequest| {
                let id = request.header("x-request-id").unwrap();
                if id == "sound" {
                    return whole_answer(request);
                }
                let seed =
                    id[1..].parse::<u64>().unwrap() * 2 + u64::from(first_missing(request) > 1);
                spoiled_answer(request, &mut StdRng::seed_from_u64(seed))
            }
        };
        let replicas = [
            FakeServer::bind(script()).await,
            FakeServer::bind(script()).await,
            FakeServer::bind(script()).await,
        ];
        let gateway =
            TestGateway::open_budget(&[&replicas[0], &replicas[1], &replicas[2]], "1000000000")
                .await;
        let mut whole = 0;
        // From here on the gateway knows with which event a run begins.
        let sound = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: sound\r\nX-Key: k1\r\n\
                     X-Request-Deadline-Ms: 4000\r\nConnection: close\r\n\r\n";
        assert_eq!(decode(&gateway.send(sound).await), (events_to(EVENTS), true));
        for seed in 0..CASES {
            let request = format!(
                "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r{seed}\r\n\
                 X-Key: k1\r\nX-Request-Deadline-Ms: 4000\r\nConnection: close\r\n\r\n"
            );
            let answer = gateway.send(&request).await;
            if answer.starts_with("HTTP/1.1 503") {
                continue;
            }
            let (body, is_complete) = decode(&answer);
            let body = body.replace(": alive\n\n", "");
            assert!(events_to(EVENTS).starts_with(&body), "{seed}: {body}");
            assert!(body.is_empty() || body.ends_with("\n\n"), "{seed}: {body}");
            assert!(!is_complete || body == events_to(EVENTS), "{seed}: {body}");
            whole += u64::from(is_complete);
        }
        assert!(whole > CASES / 4, "only {whole} streams were whole");
    });
}
