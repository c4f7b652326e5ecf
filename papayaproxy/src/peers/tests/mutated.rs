//! Mutated datagrams of entries and agents: none may cause a panic, whatever its fields say.
//!
//! Long run: `PROPTEST_CASES=100000 cargo test --release -p papayaproxy --lib mutated`.

use super::{NOW, address, heartbeat};
use crate::balance::appointments::{Appointments, Forecast};
use crate::balance::limits::RateLimit;
use crate::base::name::{Incarnation, Name};
use crate::catalog::ExpertFigures;
use crate::peers::groups::Groups;
use crate::peers::message::{
    FetchReply, FetchRequest, LimitNews, Message, PromiseNews, PromisedCount,
};
use crate::peers::table::Table;
use crate::quarantine::{Crash, PartNews, Quarantine};
use crate::ranks::demand::Popularity;
use crate::ranks::lead::{Lead, Reports};
use crate::ranks::maps::{MapStore, changes, first_map, is_well_formed};
use crate::ranks::message::{
    AgentReport, ArmedMap, Command, CountSample, GroupMember, GroupPulse, GroupStatus, LeadCommand,
    RankMessage, RankStatus,
};
use crate::ranks::report::decode_counts;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

fn figures() -> ExpertFigures {
    let (copy_us, rank_requests) = (50_000, 12);
    ExpertFigures { sets: 3, experts: 12, rank_slots: 4, spare_slots: 2, copy_us, rank_requests }
}

fn report() -> AgentReport {
    AgentReport {
        status: RankStatus {
            group: "g0".into(),
            epoch: 1,
            rank: 1,
            size: 3,
            open: true,
            busy: false,
            sequence: 2,
            running: 4,
            waiting: 1,
            started_ms: 7,
            slowdown: 1.0,
            step: 90,
            version: 0,
            copying: None,
            prepared: Some(5),
            armed: Some(ArmedMap { version: 5, step: Some(95) }),
            held: Some(95),
        },
        replica: address(9),
        term: 65_536,
        order_uncertain: false,
        experts: (0, vec![vec![1, 4], vec![1, 4], vec![1, 4]]),
        expert_counts: CountSample { shift: 1, counts: vec![9; 36] },
        wants_map: true,
    }
}

fn crash(entry: u64) -> Crash {
    let (sent_at, ended_at) = (Duration::from_millis(2_700), Duration::from_millis(2_900));
    Crash { upstream: 5, entry: Incarnation(entry), parts: vec![7, 9], sent_at, ended_at }
}

/// One datagram of each kind that carries numbers or lists.
fn samples() -> Vec<Message> {
    let old = first_map(3, &figures());
    let mut new = old.clone();
    new[1][2] = vec![3, 7, 11];
    let changes = Arc::new(changes(0, &old, &new));
    let group = (Name::from("llm"), Name::from("g0"));
    let members = vec![GroupMember { address: address(9), slowdown: 2.0, requests: Some(3) }; 3];
    let command = |command| {
        let lead_command = LeadCommand { term: 65_536, epoch: 1, command };
        Message::Rank(RankMessage::Command(Box::new(lead_command)))
    };
    vec![
        Message::Heartbeat(heartbeat("a", 1, 1)),
        Message::Rank(RankMessage::Report(Box::new(report()))),
        command(Command::Prepare { version: 5, map: Arc::new(new) }),
        command(Command::PrepareChanges { version: 5, changes }),
        command(Command::Arm { version: 5, step: 95 }),
        Message::Group(GroupStatus {
            group: group.clone(),
            open: true,
            pass_ms: 60.0,
            requests: 3.0,
            loads_ms: 0,
            members,
        }),
        Message::Pulse(GroupPulse {
            group,
            members: 0,
            open: true,
            pass_ms: 60.0,
            requests: 3.0,
            slow: vec![(1, 3.0)],
            loads: vec![9],
            loads_ms: 0,
        }),
        Message::Parts(PartNews {
            crashes: vec![(crash(1), 40), (crash(2), 30)],
            survived: vec![(7, 900)],
        }),
        Message::Limits(vec![LimitNews { upstream: 5, limit: Some(1.5), age_ms: 40 }]),
        Message::Promises(vec![PromiseNews {
            service: 5,
            phase_ms: 90,
            promises: vec![PromisedCount { due: 2, age: 1, priority: 0, count: 3 }; 3],
        }]),
    ]
}

/// Passes a message to the cores that an entry or an agent passes it to.
fn handle(message: Message) {
    match message {
        Message::Heartbeat(heartbeat) => {
            let mut table = Table::new(address(1), Vec::new());
            for last in 2..=20 {
                table.record_heartbeat(address(last), heartbeat.clone(), NOW);
            }
            table.peer_loads();
            table.readers(&Name::from("b"));
        }
        Message::Rank(RankMessage::Report(report)) => {
            let mut popularity = Popularity::new(figures(), Duration::ZERO);
            popularity.record(&decode_counts(&report.expert_counts), NOW);
            let map = vec![vec![report.experts.1.concat(); 3]; 3];
            is_well_formed(&map, report.status.size, &figures());
            let mut reports = Reports::new();
            for rank in 0..3 {
                let mut own = (*report).clone();
                own.status.rank = rank;
                reports.insert(rank, (own, NOW));
            }
            let mut lead = Lead::new(1, 3, report.status.epoch, 1);
            lead.begin(0, NOW);
            for _ in 0..4 {
                lead.advance(&reports, 60.0, NOW);
            }
        }
        Message::Rank(RankMessage::Command(lead_command)) => {
            let epoch = lead_command.epoch;
            if let Command::PrepareChanges { changes, .. } = lead_command.command {
                let first = || Some(first_map(3, &figures()));
                MapStore::default().apply(epoch, &changes, first);
            }
        }
        Message::Group(status) => Groups::default().apply_status(&status, NOW),
        Message::Pulse(pulse) => {
            let mut groups = Groups::default();
            if let Some(Message::Group(status)) = samples().into_iter().nth(5) {
                groups.apply_status(&status, NOW);
            }
            groups.apply_pulse(pulse, NOW);
        }
        Message::Parts(news) => {
            let mut quarantine = Quarantine::default();
            quarantine.observe(&news, NOW);
            quarantine.record_crash(Crash { upstream: 6, ..crash(3) }, NOW);
            quarantine.expire(NOW);
            quarantine.news(true, NOW);
        }
        Message::Limits(news) => {
            for news in news {
                RateLimit::new(news.limit.unwrap_or_default(), 8, None, news.upstream, NOW);
            }
        }
        Message::Promises(news) => {
            for news in news {
                let mut appointments = Appointments::default();
                appointments.observe_peer(address(1), &news, NOW);
                appointments.observe_peer(address(1), &news, NOW);
                let window = (Duration::ZERO, Duration::from_secs(1));
                appointments.book(NOW, 0, window, Forecast::default(), (7, Duration::ZERO));
                appointments.is_on_time(NOW, 0, Duration::ZERO, Duration::ZERO);
                appointments.news(news.service, NOW);
            }
        }
        _ => {}
    }
}

proptest! {
    #[test]
    fn handle_mutated_datagrams_no_panic(
        kind in 0usize..10,
        edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        cut in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let mut bytes = postcard::to_stdvec(&samples()[kind]).unwrap();
        for (at, byte) in edits {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
            handle(message);
        }
        let _ = postcard::from_bytes::<FetchReply>(&bytes);
        let _ = postcard::from_bytes::<FetchRequest>(&bytes);
    }
}
