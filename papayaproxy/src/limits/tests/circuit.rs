//! Tests of circuits.

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
#[case::three_bad_in_a_row(&[false, false, false], true)]
#[case::half_bad(&[true, false, true, false, true, false], true)]
#[case::third_bad(&[true, true, false, true, true, false], false)]
#[case::few(&[false, false], false)]
fn answered_due_to_open(#[case] answers: &[bool], #[case] expected: bool) {
    let mut circuit = closed();
    let due = answers.iter().map(|&good| circuit.answered(good, false, secs(1.0)));
    assert_eq!(due.last(), Some(expected));
}

#[test]
fn answered_old_answers_dropped() {
    let mut circuit = closed();
    for good in [false, false, true, false, false] {
        assert!(!circuit.answered(good, false, secs(1.0)));
    }
    assert!(!circuit.answered(true, false, secs(20.0)));
    assert!(!circuit.answered(false, false, secs(20.0)));
}

#[test]
fn open_waits_then_one_probe() {
    let mut circuit = opened();
    assert!(!circuit.allows(secs(11.9)));
    assert!(circuit.allows(secs(12.0)));
    assert!(circuit.take(secs(12.0)));
    assert!(!circuit.allows(secs(12.1)), "one probe at a time");
    assert_eq!(circuit.state(), CircuitState::HalfOpen);
}

#[test]
fn probe_good_twice_closes() {
    let mut circuit = opened();
    for at in [12.0, 13.0] {
        let probe = circuit.take(secs(at));
        assert!(!circuit.answered(true, probe, secs(at)));
    }
    assert_eq!(circuit.state(), CircuitState::Closed);
}

#[test]
fn probe_bad_waits_longer() {
    let mut circuit = opened();
    let probe = circuit.take(secs(12.0));
    assert!(circuit.answered(false, probe, secs(12.0)));
    circuit.open(secs(12.0));
    assert!(!circuit.allows(secs(15.0)));
    assert!(circuit.allows(secs(16.0)));
}

#[test]
fn probe_given_up_frees() {
    let mut circuit = opened();
    let probe = circuit.take(secs(12.0));
    circuit.given_up(probe);
    assert!(circuit.allows(secs(12.0)));
}
