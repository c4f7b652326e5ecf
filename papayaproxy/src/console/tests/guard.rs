//! Tests of authentication, form tokens and origin checks.

use crate::console::codes;
use crate::console::guard::{Guard, check_origin};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::HeaderMap;
use rstest::rstest;
use std::time::Duration;

use super::digest;

const NOW: Duration = Duration::from_secs(1_000_000);

fn guard(key: u8) -> Guard {
    Guard::new([("anna".into(), digest("secret"))].into_iter().collect(), [key; 32])
}

fn headers(rows: &[(&'static str, &str)]) -> HeaderMap {
    rows.iter().map(|(k, v)| (k.parse().unwrap(), v.parse().unwrap())).collect()
}

#[rstest]
#[case::right("Basic", "anna:secret", true)]
#[case::lower_scheme("basic", "anna:secret", true)]
#[case::wrong_credential("Basic", "anna:other", false)]
#[case::wrong_name("Basic", "bert:secret", false)]
#[case::no_colon("Basic", "anna", false)]
#[case::other_scheme("Bearer", "anna:secret", false)]
fn operator_credentials(#[case] scheme: &str, #[case] pair: &str, #[case] known: bool) {
    let value = format!("{scheme} {}", STANDARD.encode(pair));
    let found = guard(1).authenticate(&headers(&[("authorization", &value)]));
    assert_eq!(found.is_ok(), known);
}

#[test]
fn operator_without_credentials() {
    let refused = guard(1).authenticate(&HeaderMap::new()).unwrap_err();
    assert_eq!((refused.code, refused.status().as_u16()), (codes::OPERATOR_UNKNOWN, 401));
}

#[rstest]
#[case::fresh("anna", 1, 0, true)]
#[case::late("anna", 1, 12 * 3600, true)]
#[case::too_late("anna", 1, 12 * 3600 + 1, false)]
#[case::other_operator("bert", 1, 0, false)]
#[case::other_console("anna", 2, 0, false)]
fn token_checked(#[case] operator: &str, #[case] key: u8, #[case] age: u64, #[case] valid: bool) {
    let token = guard(key).issue_token(operator, NOW);
    let checked = guard(1).check_token("anna", &token, NOW + Duration::from_secs(age));
    assert_eq!(checked.is_ok(), valid);
}

#[rstest]
#[case::empty("")]
#[case::number("1000000")]
#[case::forged("1000000.00")]
#[case::future("2000000.00")]
fn token_invalid(#[case] token: &str) {
    let refused = guard(1).check_token("anna", token, NOW).unwrap_err();
    assert_eq!(refused.code, codes::FORM_FOREIGN);
}

#[rstest]
#[case::plain(&[("host", "console:1")], true)]
#[case::same(&[("host", "console:1"), ("origin", "http://console:1"), ("sec-fetch-site", "same-origin")], true)]
#[case::other_origin(&[("host", "console:1"), ("origin", "http://evil:1")], false)]
#[case::null_origin(&[("host", "console:1"), ("origin", "null")], false)]
#[case::cross_site(&[("host", "console:1"), ("sec-fetch-site", "cross-site")], false)]
#[case::same_site(&[("host", "console:1"), ("sec-fetch-site", "same-site")], false)]
fn origin_checked(#[case] rows: &[(&'static str, &str)], #[case] allowed: bool) {
    assert_eq!(check_origin(&headers(rows)).is_ok(), allowed);
}
