//! Time for which a group is stalled at a held step, in virtual milliseconds.

use crate::base::digest::Digest;
use crate::experts::barrier::Barrier;
use crate::experts::constants::LEAD_TIMEOUT;
use crate::experts::lead::{Lead, OutboundRequest, Phase};
use crate::experts::message::{MapId, Reply, Request};
use crate::experts::rank::Rank;
use rstest::rstest;
use std::time::Duration;

const RANKS: u16 = 16;
const STEP_MS: u64 = 25;
const ONE_WAY_MS: u64 = 2;
const END_MS: u64 = 3000;

enum Message {
    ToRank(OutboundRequest),
    ToLead(u16, Reply),
}

/// Runs one switch and returns the stall in ms. If `lead_fails`, the lead dies as soon as a rank
/// holds a step, and the agent of its own rank is restarted `restart_ms` ms later.
fn stall(distance: u64, lead_fails: bool, restart_ms: u64) -> u64 {
    let mut ranks = vec![Rank::new(MapId::default()); RANKS.into()];
    let mut barrier = Barrier::new(RANKS.into());
    let mut lead = Lead::new(0, RANKS, distance);
    let mut messages: Vec<(u64, Message)> = Vec::new();
    let mut died_at: Option<u64> = None;
    let mut steps = 0;
    let mut stalled = 0;
    let mut next_step = 0;
    for ms in 0..END_MS {
        let now = Duration::from_millis(ms);
        let is_overdue = died_at.is_some_and(|at| ms >= at + LEAD_TIMEOUT.as_millis() as u64);
        if is_overdue && lead.phase() == Phase::Idle {
            lead.begin(now);
        }
        if ms == 0 {
            lead.begin(now);
        }
        if ms == 100 {
            assert!(lead.propose(now, Digest::of(b"next")));
        }
        lead.tick(now);
        let outgoing = lead.take_requests();
        messages.extend(outgoing.into_iter().map(|s| (ms + ONE_WAY_MS, Message::ToRank(s))));
        for (_, message) in messages.extract_if(.., |m| m.0 <= ms).collect::<Vec<_>>() {
            match message {
                Message::ToRank(outbound) => {
                    if outbound.rank == 0 && died_at.is_some_and(|at| ms < at + restart_ms) {
                        continue;
                    }
                    let rank = &mut ranks[usize::from(outbound.rank)];
                    if let Request::Stage { map, .. } = outbound.request {
                        rank.mark_staged(map);
                    }
                    let reply = rank.receive(outbound.request);
                    messages.push((ms + ONE_WAY_MS, Message::ToLead(outbound.rank, reply)));
                }
                Message::ToLead(from, reply) => lead.receive(now, from, reply),
            }
        }
        let holding = ranks[1].state().hold.is_some();
        if lead_fails && died_at.is_none() && holding {
            died_at = Some(ms);
            messages.retain(|m| matches!(m.1, Message::ToRank(_)));
            lead = Lead::new(1, RANKS, distance);
        }
        if ms < next_step {
            continue;
        }
        let mut done = false;
        for (index, rank) in ranks.iter_mut().enumerate() {
            if let Some(step) = rank.begin_step() {
                done |= barrier.join(index, step).is_some();
            }
        }
        if done {
            steps += 1;
            next_step = ms + STEP_MS;
        } else {
            stalled += 1;
        }
    }
    assert!(steps > 50, "the group makes no progress");
    stalled
}

#[rstest]
#[case::nothing_fails(16, false, 0, 0)]
#[case::nothing_fails_near(2, false, 0, 0)]
#[case::lead_dies(16, true, 100, 0)]
fn stall_per_switch(
    #[case] distance: u64,
    #[case] lead_fails: bool,
    #[case] restart_ms: u64,
    #[case] max_ms: u64,
) {
    let found = stall(distance, lead_fails, restart_ms);
    assert!(found <= max_ms, "{found} ms");
}

#[test]
fn stall_while_agent_away() {
    let found = stall(16, true, 1000);
    println!("stall {found} ms");
    assert!(found > 0 && found < 1000, "{found} ms");
}
