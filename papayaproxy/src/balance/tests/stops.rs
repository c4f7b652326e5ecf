//! How long a request can take at most, by which a stopping entry takes or refuses it.

use super::patterns::{START as NOW, balancer, group_status, id};
use std::time::Duration;

/// Tokens of a prompt, of a usual answer and of the longest one that a client allows.
const PROMPT: u32 = 835;
const USUAL: u32 = 140;
const LONG: u32 = 345;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A stream that a stopping entry takes is cut if it lasts longer than its bound: the batch may
/// fill up while it runs, whatever the load is as it is taken.
#[test]
fn longest_time_full_batch_included() {
    let (mut balancer, ..) = balancer(&["a"]);
    balancer.observe_group(&group_status(true, 0..4), NOW);
    // A pass with 12 requests takes 52 ms, the 69 of the longest answer 3.6 s.
    let longest = balancer.longest_time("llm", PROMPT, LONG, NOW).unwrap();
    assert!((ms(3600)..ms(4200)).contains(&longest), "{longest:?}");
    // A usual answer fits into a grace period of 8 s for some seconds.
    let usual = balancer.longest_time("llm", PROMPT, USUAL, NOW).unwrap();
    assert!(usual < ms(2000), "{usual:?}");
}

/// The bound has to hold at any upstream that the stream may be sent to, so the slowest counts.
#[test]
fn longest_time_slowest_upstream() {
    let (mut balancer, ..) = balancer(&["a"]);
    balancer.observe_group(&group_status(true, 0..4), NOW);
    let usual = balancer.longest_time("llm", PROMPT, USUAL, NOW).unwrap();
    // An idle replica whose passes take over three times as long as usual.
    (0..200).for_each(|_| balancer.observe_gap(&id(2), ms(100)));
    let slow = balancer.longest_time("llm", PROMPT, USUAL, NOW).unwrap();
    assert!(slow > usual.mul_f64(2.5), "{slow:?} after {usual:?}");
    // One that gets no request does not count.
    balancer.observe_group(&group_status(false, 2..3), NOW);
    assert_eq!(balancer.longest_time("llm", PROMPT, USUAL, NOW), Some(usual));
}

/// A group that no report shows to run passes may stand: nothing bounds its answers.
#[test]
fn longest_time_unconfirmed_none() {
    let (mut balancer, ..) = balancer(&["a", "b"]);
    assert_eq!(balancer.longest_time("llm", PROMPT, USUAL, NOW), None);
    balancer.observe_group(&group_status(true, 0..4), NOW);
    assert_eq!(balancer.longest_time("llm", PROMPT, USUAL, NOW), None);
    balancer.observe_group(&group_status(true, 4..8), NOW);
    assert!(balancer.longest_time("llm", PROMPT, USUAL, NOW).is_some());
    // The reports have ended.
    let later = NOW + Duration::from_secs(5);
    assert_eq!(balancer.longest_time("llm", PROMPT, USUAL, later), None);
    assert_eq!(balancer.longest_time("plain", PROMPT, USUAL, NOW), None);
}
