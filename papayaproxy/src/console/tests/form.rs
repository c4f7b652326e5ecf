//! Tests of form parsing and of edits by forms.

use crate::console::codes;
use crate::console::edit::{date, edit_upstream, edit_workspace};
use crate::console::form::Form;
use crate::fleet::credential_digest;
use rstest::rstest;

use super::sample;

#[rstest]
#[case::minutes("2026-12-07T06:00", "2026-12-07T06:00:00Z")]
#[case::seconds("2026-12-07T06:00:30", "2026-12-07T06:00:30Z")]
#[case::zoned("2026-12-07T06:00Z", "2026-12-07T06:00:00Z")]
fn date_forms(#[case] text: &str, #[case] expected: &str) {
    let form = Form::parse(format!("at={text}").as_bytes()).unwrap();
    let expected = humantime::parse_rfc3339(expected).unwrap();
    assert_eq!(date(&form, "at"), Ok(Some(expected)));
}

#[rstest]
#[case::word("tomorrow")]
#[case::no_time("2026-12-07")]
#[case::no_such_day("2026-02-31T06:00")]
fn date_invalid(#[case] text: &str) {
    let form = Form::parse(format!("at={text}").as_bytes()).unwrap();
    let error = date(&form, "at").unwrap_err();
    assert_eq!(error.code, codes::FIELD_INVALID);
    assert!(error.detail.contains("'at'"), "{error}");
}

#[rstest]
#[case::too_large("a=".to_owned() + &"x".repeat(4 << 20))]
#[case::too_many("a=1&".repeat(10_001))]
fn form_bounds(#[case] body: String) {
    assert_eq!(Form::parse(body.as_bytes()).unwrap_err().code, codes::FORM_OVERSIZED);
}

#[rstest]
#[case::name("name=Not+A+Name&agent=10.0.0.1:7301&zone=a&role=mixed", "name")]
#[case::agent("name=new-1&agent=here&zone=a&role=mixed", "agent")]
#[case::zone("name=new-1&agent=10.0.0.1:7301&zone=&role=mixed", "zone")]
#[case::role("name=new-1&agent=10.0.0.1:7301&zone=a&role=boss", "role")]
#[case::remove_unknown("name=new-1&remove=yes", "name")]
fn edit_upstream_mistakes(#[case] body: &str, #[case] field: &str) {
    let form = Form::parse(body.as_bytes()).unwrap();
    let error = edit_upstream(&mut sample(), &form).unwrap_err();
    assert_eq!(error.code, codes::FIELD_INVALID);
    assert!(error.detail.contains(&format!("'{field}'")), "{error}");
}

#[test]
fn edit_upstream_keeps_stop() {
    let mut document = sample();
    let (name, before) = document.upstreams.first().map(|(n, u)| (n.clone(), u.clone())).unwrap();
    let body = format!(
        "name={name}&agent={}&zone={}&role=mixed&services={}",
        before.agent, before.zone, before.services[0]
    );
    edit_upstream(&mut document, &Form::parse(body.as_bytes()).unwrap()).unwrap();
    let after = &document.upstreams[&name];
    assert_eq!(after.leaves, before.leaves);
    assert!(!after.open, "an unticked box closes it");
}

#[test]
fn edit_workspace_credential() {
    let mut document = sample();
    let edit = |document: &mut _, body: &str| {
        edit_workspace(document, &Form::parse(body.as_bytes()).unwrap())
    };
    edit(&mut document, "name=new&share=3&credential=0123456789abcdef").unwrap();
    assert_eq!(document.workspaces["new"].credential, credential_digest("0123456789abcdef"));
    edit(&mut document, "name=new&share=7&credential=").unwrap();
    let kept = &document.workspaces["new"];
    assert_eq!((kept.share, kept.credential), (7, credential_digest("0123456789abcdef")));
    let short = edit(&mut document, "name=new&share=7&credential=short").unwrap_err();
    assert_eq!(short.code, codes::FIELD_INVALID);
    let none = edit(&mut document, "name=other&share=7&credential=").unwrap_err();
    assert_eq!(none.code, codes::FIELD_INVALID);
}
