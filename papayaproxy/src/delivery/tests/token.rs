//! Tests of the text form of keys.

use super::super::codes;
use super::super::token::Token;
use super::{issue, new_table, secrets, secs};
use rstest::rstest;

#[test]
fn parse_encoded() {
    let key = issue(&mut new_table(), secs(3));
    let text = key.encode(&secrets(1, None));
    assert_eq!(Token::parse(&text, &secrets(1, None)), Ok(key.clone()));
    assert_eq!(Token::parse(&text, &secrets(2, Some(1))), Ok(key));
    assert!(text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-'));
}

#[test]
fn parse_retired_secret() {
    let text = issue(&mut new_table(), secs(3)).encode(&secrets(1, None));
    assert_eq!(Token::parse(&text, &secrets(3, Some(2))), Err(codes::KEY_SECRET_RETIRED));
}

#[test]
fn parse_every_altered_digit() {
    let good = issue(&mut new_table(), secs(3)).encode(&secrets(1, None));
    for place in 0..good.len() {
        let mut bad = good.clone().into_bytes();
        bad[place] = if bad[place] == b'0' { b'1' } else { b'0' };
        let bad = String::from_utf8(bad).unwrap();
        assert!(Token::parse(&bad, &secrets(1, None)).is_err(), "{bad}");
    }
}

#[rstest]
#[case::made_by_caller("booking-4711")]
#[case::empty("")]
#[case::prefix_only("pk1-")]
#[case::short("pk1-0102")]
#[case::upper_case("pk1-AB")]
#[case::odd_length("pk1-abc")]
#[case::multibyte("pk1-\u{e9}\u{e9}")]
fn parse_foreign(#[case] text: &str) {
    assert_eq!(Token::parse(text, &secrets(1, None)), Err(codes::KEY_FOREIGN));
}

#[test]
fn parse_other_secret_with_same_id() {
    let text = issue(&mut new_table(), secs(3)).encode(&secrets(1, None));
    let mut other = secrets(2, None);
    other.current.id = 1;
    assert_eq!(Token::parse(&text, &other), Err(codes::KEY_ALTERED));
}
