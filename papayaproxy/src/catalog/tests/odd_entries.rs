//! Entries of other writers among those of the replicas, and ids that no replica can have.

use super::store::{FakeStore, wait_for_ready};
use crate::gateway::tests::stand_ins::on_one_thread;
use rstest::rstest;
use std::io;
use std::sync::{Arc, Mutex};

pub(super) fn entry(service: &str, last: u8) -> String {
    format!(
        r#"{{"service":"{service}","address":"10.0.0.{last}:80","zone":"a","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}}"#
    )
}

/// A sound entry in which `from` is replaced by `to`.
fn changed(from: &str, to: &str) -> Vec<u8> {
    let sound = entry("s", 9);
    assert!(sound.contains(from));
    sound.replacen(from, to, 1).into_bytes()
}

pub(super) fn nested(open: &str, close: &str, depth: usize) -> String {
    format!("{}1{}", open.repeat(depth), close.repeat(depth))
}

/// An odd entry names no replica, wherever it stands in the list, and the others hold: in a listing
/// and in a watch, over a sound entry, and once it is deleted or repaired.
#[rstest]
#[case::nested_200(nested("[", "]", 200))]
#[case::nested_10_000(nested("[", "]", 10_000))]
#[case::nested_500_000(nested("[", "]", 500_000))]
#[case::nested_objects(nested("{\"a\":", "}", 60_000))]
#[case::nested_unclosed("[".repeat(500_000))]
#[case::nested_field(changed("\"ready\"", &nested("[", "]", 10_000)))]
#[case::number_large(changed("\"slots\":6", "\"slots\":1e400"))]
#[case::number_64_bits(changed("\"slots\":6", "\"slots\":18446744073709551616"))]
#[case::number_32_bits(changed("\"slots\":6", "\"slots\":4294967296"))]
#[case::number_digits(changed("\"slots\":6", &format!("\"slots\":{}", "9".repeat(100_000))))]
#[case::slots_largest(changed("\"slots\":6", "\"slots\":4294967295"))]
#[case::slots_negative(changed("\"slots\":6", "\"slots\":-1"))]
#[case::slots_fraction(changed("\"slots\":6", "\"slots\":1.5"))]
#[case::slots_nan(changed("\"slots\":6", "\"slots\":NaN"))]
#[case::slots_text(changed("\"slots\":6", "\"slots\":\"6\""))]
#[case::slots_null(changed("\"slots\":6", "\"slots\":null"))]
#[case::slots_twice(changed("\"slots\":6", "\"slots\":6,\"slots\":7"))]
#[case::port_0(changed("10.0.0.9:80", "10.0.0.9:0"))]
#[case::port_65536(changed("10.0.0.9:80", "10.0.0.9:65536"))]
#[case::port_99999(changed("10.0.0.9:80", "10.0.0.9:99999"))]
#[case::port_negative(changed("10.0.0.9:80", "10.0.0.9:-1"))]
#[case::port_missing(changed("10.0.0.9:80", "10.0.0.9"))]
#[case::host_name(changed("10.0.0.9:80", "replica.example:80"))]
#[case::host_unspecified(changed("10.0.0.9:80", "0.0.0.0:80"))]
#[case::host_unspecified_6(changed("10.0.0.9:80", "[::]:80"))]
#[case::host_unspecified_mapped(changed("10.0.0.9:80", "[::ffff:0.0.0.0]:80"))]
#[case::host_multicast(changed("10.0.0.9:80", "224.0.0.1:80"))]
#[case::host_broadcast(changed("10.0.0.9:80", "255.255.255.255:80"))]
#[case::state_unknown(changed("\"ready\"", "\"resting\""))]
#[case::state_missing(changed(",\"state\":\"ready\"", ""))]
#[case::service_missing(changed("\"service\":\"s\",", ""))]
#[case::zone_number(changed("\"zone\":\"a\"", "\"zone\":7"))]
#[case::version_missing(changed("\"version\":\"v1\",", ""))]
#[case::version_number(changed("\"version\":\"v1\"", "\"version\":1"))]
#[case::cold_missing(changed("\"coldRemainingMs\":0,", ""))]
#[case::cold_text(changed("\"coldRemainingMs\":0", "\"coldRemainingMs\":\"long\""))]
#[case::cold_large(changed("\"coldRemainingMs\":0", "\"coldRemainingMs\":1e400"))]
#[case::sequence_missing(changed("\"sequence\":1,", ""))]
#[case::sequence_text(changed("\"sequence\":1", "\"sequence\":\"1\""))]
#[case::sequence_large(changed("\"sequence\":1", "\"sequence\":1e400"))]
#[case::born_negative(changed("\"born\":1", "\"born\":-1"))]
#[case::born_fraction(changed("\"born\":1", "\"born\":1.5"))]
#[case::born_large(changed("\"born\":1", "\"born\":18446744073709551615"))]
#[case::empty("")]
#[case::array("[]")]
#[case::text("\"ready\"")]
#[case::null("null")]
#[case::no_json([0u8, 159, 146, 150])]
#[case::no_utf8(changed("\"zone\":\"a\"", "\"zone\":\"a\u{7f}\"").into_iter().map(|b| if b == 0x7f { 0xff } else { b }).collect::<Vec<_>>())]
#[case::large("x".repeat(1 << 20))]
fn follow_odd_entry_others_hold(#[case] odd: impl AsRef<[u8]>) {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("servers/a", &odd);
        store.put("servers/m", entry("s", 1));
        store.put("servers/z", &odd);
        let catalog = store.follow();
        wait_for_ready(&catalog, &["m"]).await;
        store.put("servers/b", &odd);
        store.put("servers/n", entry("s", 2));
        wait_for_ready(&catalog, &["m", "n"]).await;
        store.put("servers/m", &odd);
        wait_for_ready(&catalog, &["n"]).await;
        store.delete("servers/a");
        store.delete("servers/m");
        store.put("servers/o", entry("s", 3));
        wait_for_ready(&catalog, &["n", "o"]).await;
        store.put("servers/m", entry("s", 1));
        wait_for_ready(&catalog, &["m", "n", "o"]).await;
        store.content.borrow_mut().gone_prefix = Some("servers/");
        store.put("servers/p", entry("s", 4));
        wait_for_ready(&catalog, &["m", "n", "o", "p"]).await;
    });
}

/// Requests name the id of their replica in a header. An id that cannot stand there would leave them
/// unnamed, so that a replica of another service at that address could run them.
#[rstest]
#[case::empty("")]
#[case::space("a b")]
#[case::only_space(" ")]
#[case::tab("a\\t")]
#[case::line_break("a\\r\\nX-Tenant: other")]
#[case::control("a\\u0000")]
#[case::accent("caf\u{e9}")]
fn follow_odd_id_ignored(#[case] id: &str) {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put(&format!("servers/{id}"), entry("s", 9));
        store.put("servers/m", entry("s", 1));
        let catalog = store.follow();
        wait_for_ready(&catalog, &["m"]).await;
        store.put(&format!("servers/{id}"), entry("s", 8));
        store.put("servers/n", entry("s", 2));
        wait_for_ready(&catalog, &["m", "n"]).await;
    });
}

/// Ids that are unusual but can stand in a header, and unusual names of services and zones, are used.
#[rstest]
#[case::long(&"i".repeat(192), "s")]
#[case::slash("a/b", "s")]
#[case::marks("i-7:%;=", "s")]
#[case::service("i-1", "caf\u{e9}/\\u0007 \\\" {}")]
fn follow_unusual_names_used(#[case] id: &str, #[case] service: &str) {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put(&format!("servers/{id}"), entry(service, 9));
        let catalog = store.follow();
        wait_for_ready(&catalog, &[id]).await;
        assert!(catalog.list_digest() > 0);
    });
}

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    fn count(&self, text: &str) -> usize {
        String::from_utf8_lossy(&self.0.lock().unwrap()).matches(text).count()
    }
}

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An odd entry is logged when it is written, and not at each read of the list.
#[test]
fn follow_odd_entry_logged_once() {
    let lines = Lines::default();
    let written = lines.clone();
    let log = tracing_subscriber::fmt().with_ansi(false).with_writer(move || written.clone());
    let _guard = tracing::subscriber::set_default(log.finish());
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("servers/a", "[]");
        store.put("servers/m", entry("s", 1));
        let catalog = store.follow();
        wait_for_ready(&catalog, &["m"]).await;
        for _ in 0..3 {
            store.content.borrow_mut().gone_prefix = Some("servers/");
            store.wait_for_calls("/kv-range servers/", 1).await;
        }
        assert_eq!(lines.count("upstream record ignored"), 1);
        store.put("servers/a", "{}");
        store.put("servers/n", entry("s", 2));
        wait_for_ready(&catalog, &["m", "n"]).await;
        assert_eq!(lines.count("upstream record ignored"), 2, "it has been written again");
        store.delete("servers/a");
        store.put("servers/o", entry("s", 3));
        wait_for_ready(&catalog, &["m", "n", "o"]).await;
        assert_eq!(lines.count("upstream record ignored"), 2, "a removal is no odd entry");
    });
}
