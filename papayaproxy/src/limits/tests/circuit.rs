//! Circuit breaker: opening, probes and closing.

use super::super::circuit::{Circuit, CircuitSettings, CircuitState};
use super::secs;
use rstest::rstest;

fn closed() -> Circuit {
    Circuit::new(CircuitSettings::default())
}

fn opened() -> Circuit {
    let mut circuit = closed();
    circuit.open(secs(10.0));
    circuit
}

#[rstest]
#[case::three_consecutive_bad(&[false, false, false], true)]
#[case::half_bad(&[true, false, true, false, true, false], true)]
#[case::third_bad(&[true, true, false, true, true, false], false)]
#[case::few(&[false, false], false)]
fn record_answer_due_to_open(#[case] answers: &[bool], #[case] expected: bool) {
    let mut circuit = closed();
    let due = answers.iter().map(|&good| circuit.record_answer(good, false, secs(1.0)));
    assert_eq!(due.last(), Some(expected));
}

#[test]
fn record_answer_old_answers_dropped() {
    let mut circuit = closed();
    for good in [false, false, true, false, false] {
        assert!(!circuit.record_answer(good, false, secs(1.0)));
    }
    assert!(!circuit.record_answer(true, false, secs(20.0)));
    assert!(!circuit.record_answer(false, false, secs(20.0)));
}

#[test]
fn open_waits_then_one_probe() {
    let mut circuit = opened();
    assert!(!circuit.allows(secs(11.9)));
    assert!(circuit.allows(secs(12.0)));
    assert!(circuit.start_attempt(secs(12.0)));
    assert!(!circuit.allows(secs(12.1)), "one probe at a time");
    assert_eq!(circuit.state(), CircuitState::HalfOpen);
}

#[test]
fn probe_good_twice_closes() {
    let mut circuit = opened();
    for at in [12.0, 13.0] {
        let probe = circuit.start_attempt(secs(at));
        assert!(!circuit.record_answer(true, probe, secs(at)));
    }
    assert_eq!(circuit.state(), CircuitState::Closed);
}

#[test]
fn probe_bad_waits_longer() {
    let mut circuit = opened();
    let probe = circuit.start_attempt(secs(12.0));
    assert!(circuit.record_answer(false, probe, secs(12.0)));
    circuit.open(secs(12.0));
    assert!(!circuit.allows(secs(15.0)));
    assert!(circuit.allows(secs(16.0)));
}

#[test]
fn release_probe_frees() {
    let mut circuit = opened();
    let probe = circuit.start_attempt(secs(12.0));
    circuit.release_probe(probe);
    assert!(circuit.allows(secs(12.0)));
}
