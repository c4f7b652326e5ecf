//! Tests of the shape of whole events.

use super::super::shape::{EventShape, event_shape};
use rstest::rstest;

#[rstest]
#[case::usual("id: 7\ndata: x\n\n", EventShape::Numbered(7))]
#[case::crlf("id: 7\r\ndata: x\r\n\r\n", EventShape::Numbered(7))]
#[case::data_first("data: x\nid:7\n\n", EventShape::Numbered(7))]
#[case::lines("id: 7\ndata: x\ndata: y\ndata\n\n", EventShape::Numbered(7))]
#[case::typed("event: piece\nretry: 10\nid: 7\ndata: x\n\n", EventShape::Numbered(7))]
#[case::version_first("weights: 3\nid: 7\ndata: x\n\n", EventShape::Numbered(7))]
#[case::comment(": alive\n\n", EventShape::Comment)]
#[case::comment_first(": alive\nid: 7\ndata: x\n\n", EventShape::Numbered(7))]
#[case::blank("\n", EventShape::Comment)]
#[case::no_id("data: x\n\n", EventShape::Unnumbered)]
#[case::id_text("id: x\ndata: x\n\n", EventShape::Unnumbered)]
#[case::id_empty("id\ndata: x\n\n", EventShape::Unnumbered)]
#[case::other_field("weights: 3\n\n", EventShape::Unnumbered)]
#[case::no_data("id: 7\n\n", EventShape::Torn)]
#[case::two_ids("id: 7\ndata: x\nid: 8\ndata: y\n\n", EventShape::Torn)]
#[case::foreign_between("id: 7\ndata: x\nXid: 8\ndata: y\n\n", EventShape::Torn)]
#[case::foreign_after("id: 7\ndata: x\nrest of it\n\n", EventShape::Torn)]
#[case::comment_between("id: 7\ndata: x\n:id: 8\ndata: y\n\n", EventShape::Torn)]
fn event_shape_kinds(#[case] raw: &str, #[case] expected: EventShape) {
    assert_eq!(event_shape(raw.as_bytes()), expected);
}
