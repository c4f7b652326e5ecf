//! What each misuse of a key is answered by, over real processes.

use super::caller::{Caller, Told};
use super::report::Report;
use super::rig::Rig;
use bytes::Bytes;
use hyper::Method;
use std::io;

/// Uses keys in each wrong way once, and notes the answers that are not as documented.
pub(crate) async fn check_rules(rig: &Rig, report: &mut Report) -> io::Result<()> {
    let (caller, other) = (rig.caller(0), rig.other_caller(1));
    let key = fresh(&caller).await?;
    let body = Bytes::from_static(b"{\"reference\":\"rules\"}");
    let mut altered = key.clone();
    altered.pop();
    altered.push(if key.ends_with('0') { '1' } else { '0' });
    let not_run = |code: &str| Told::NotRun(code.to_owned());
    let unknown = |code: &str| Told::Unknown(code.to_owned());
    let call = |key: String| {
        let (caller, body) = (caller.clone(), body.clone());
        async move { caller.call(Some(&key), body).await }
    };
    let mut expect = |what: &str, told: Told, expected: Told| {
        if told != expected {
            report.violations.push(format!("{what}: told {told:?}, not {expected:?}"));
        }
    };
    expect("own key", call("booking-4711".to_owned()).await, not_run("P1200"));
    expect("altered key", call(altered).await, not_run("P1201"));
    let foreign = other.call(Some(&key), body.clone()).await;
    expect("another workspace", foreign, not_run("P1203"));
    let asked = caller.ask(Method::GET, &key).await;
    expect("question for a fresh key", asked, unknown("P1216"));
    expect("first call", call(key.clone()).await, Told::Completed(body.clone()));
    expect("repeated call", call(key.clone()).await, Told::Completed(body.clone()));
    let clash = caller.call(Some(&key), Bytes::from_static(b"{}")).await;
    expect("another body", clash, unknown("P1207"));
    let asked = caller.ask(Method::GET, &key).await;
    expect("question for a used key", asked, Told::Completed(body.clone()));
    let revoked = fresh(&caller).await?;
    let answer = caller.ask(Method::DELETE, &revoked).await;
    expect("revocation", answer, not_run("P1210"));
    expect("call under a revoked key", call(revoked).await, not_run("P1210"));
    let runs = rig.plains[0].counts().keys.get(&key).copied().unwrap_or_default();
    if runs.started != 1 || rig.plains[0].counts().total.started != 1 {
        report.violations.push(format!("the rules' one call ran {} times", runs.started));
    }
    Ok(())
}

async fn fresh(caller: &Caller) -> io::Result<String> {
    caller.issue().await.ok_or_else(|| io::Error::other("no key is issued"))
}
