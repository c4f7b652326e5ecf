//! Validates references and constraints across a fleet document.

use super::codes;
use super::constants::{LEAVE_MAX, LEAVE_SPACING};
use super::document::{Document, Kind, Service, Upstream};
use super::error::Problem;
use super::fields::Problems;
use crate::base::name::Name;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Checks references, addresses, planned stops and sizes.
///
/// Returns all problems found, each with its section, key and code.
pub fn validate(document: &Document) -> Vec<Problem> {
    let mut problems = Problems::default();
    for name in document.services.keys() {
        check_service(document, name, &mut problems);
    }
    for (name, upstream) in &document.upstreams {
        check_upstream(document, name, upstream, &mut problems);
    }
    check_addresses(document, &mut problems);
    check_groups(document, &mut problems);
    problems.list
}

/// The open upstreams that offer `service`, whether they have a planned stop or not.
fn upstreams_of<'a>(document: &'a Document, service: &Name) -> Vec<(&'a Name, &'a Upstream)> {
    let offers = |u: &Upstream| u.open && u.services.contains(service);
    document.upstreams.iter().filter(|(_, u)| offers(u)).collect()
}

fn check_service(document: &Document, name: &Name, problems: &mut Problems) {
    let section = format!("service.{name}");
    let service = &document.services[name];
    if let Kind::Model(model) = &service.kind
        && !document.models.contains_key(model)
    {
        let detail = format!("there is no section [model.{model}]");
        problems.add(codes::REFERENCE_DANGLING, &section, "model", detail);
    }
    let upstreams = upstreams_of(document, name);
    if upstreams.is_empty() {
        problems.add(codes::SERVICE_EMPTY, &section, "", "no open upstream offers the service");
    }
    if let Some((last, reason)) = conflicting_stop(service, &upstreams) {
        let section = format!("upstream.{last}");
        let detail = format!("all upstreams of service '{name}' {reason}");
        problems.add(codes::SERVICE_ALL_LEAVE, &section, "leave-from", detail);
    }
}

/// Finds the upstream whose planned stop leaves the service without any upstream, or starts too
/// close to the others, and the reason.
///
/// The only upstream of an idempotent service may stop: its callers are refused and can retry.
fn conflicting_stop<'a>(
    service: &Service,
    upstreams: &[(&'a Name, &Upstream)],
) -> Option<(&'a Name, &'static str)> {
    if service.idempotent && upstreams.len() < 2 {
        return None;
    }
    let starts = upstreams.iter().filter_map(|(n, u)| Some((*n, u.leaves?.from)));
    let mut starts: Vec<_> = starts.collect();
    starts.sort_by_key(|s| s.1);
    let none_available = |at| upstreams.iter().all(|(_, u)| !u.takes_work(at));
    if let Some((name, _)) = starts.iter().find(|s| none_available(s.1)) {
        return Some((name, "have planned stops at the same time"));
    }
    let (first, last) = (starts.first()?, starts.last()?);
    let spread = last.1.duration_since(first.1).unwrap_or(Duration::ZERO);
    let too_close = starts.len() == upstreams.len() && spread < LEAVE_SPACING;
    (too_close && !service.idempotent)
        .then_some((last.0, "start their planned stops within one hour"))
}

fn check_upstream(document: &Document, name: &Name, upstream: &Upstream, problems: &mut Problems) {
    let section = format!("upstream.{name}");
    if !document.zones.contains_key(&upstream.zone) {
        let detail = format!("there is no section [zone.{}]", upstream.zone);
        problems.add(codes::REFERENCE_DANGLING, &section, "zone", detail);
    }
    if upstream.services.is_empty() {
        problems.add(codes::KEY_MISSING, &section, "services", "the upstream offers no service");
    }
    let mut plain = HashSet::new();
    for service in &upstream.services {
        match document.services.get(service) {
            Some(found) => drop(plain.insert(found.kind == Kind::Plain)),
            None => {
                let detail = format!("there is no section [service.{service}]");
                problems.add(codes::REFERENCE_DANGLING, &section, "services", detail);
            }
        }
    }
    if plain.len() > 1 {
        let detail = "the upstream offers both model and plain services";
        problems.add(codes::KINDS_MIXED, &section, "services", detail);
    }
    check_leave(upstream, &section, problems);
}

fn check_leave(upstream: &Upstream, section: &str, problems: &mut Problems) {
    let Some(leave) = upstream.leaves else { return };
    let length = leave.until.duration_since(leave.from).unwrap_or(Duration::ZERO);
    if length.is_zero() {
        let detail = "the planned stop must end after it starts";
        problems.add(codes::LEAVE_INVALID, section, "leave-until", detail);
    } else if length > LEAVE_MAX {
        let detail = "the planned stop is longer than 7 days; set open = no instead";
        problems.add(codes::LEAVE_INVALID, section, "leave-until", detail);
    }
}

fn check_addresses(document: &Document, problems: &mut Problems) {
    let mut seen: HashMap<_, &Name> = HashMap::new();
    for (name, upstream) in &document.upstreams {
        if let Some(first) = seen.insert(upstream.agent, name) {
            let section = format!("upstream.{name}");
            let detail = format!("{} is also the address of upstream '{first}'", upstream.agent);
            problems.add(codes::ADDRESS_REPEATED, &section, "agent", detail);
        }
    }
}

fn check_groups(document: &Document, problems: &mut Problems) {
    let mut taken: HashMap<&Name, &Name> = HashMap::new();
    for (name, group) in &document.groups {
        let section = format!("group.{name}");
        if !document.models.contains_key(&group.model) {
            let detail = format!("there is no section [model.{}]", group.model);
            problems.add(codes::REFERENCE_DANGLING, &section, "model", detail);
        }
        for rank in &group.ranks {
            if !document.upstreams.contains_key(rank) {
                let detail = format!("there is no section [upstream.{rank}]");
                problems.add(codes::REFERENCE_DANGLING, &section, "ranks", detail);
            }
            if let Some(other) = taken.insert(rank, name) {
                let detail = format!("'{rank}' is also a rank of group '{other}'");
                problems.add(codes::MEMBER_REPEATED, &section, "ranks", detail);
            }
        }
        let capacity = group.ranks.len() * usize::from(group.slots);
        if capacity < usize::from(group.experts) {
            let detail = format!("{capacity} slots cannot hold {} experts", group.experts);
            problems.add(codes::GROUP_INVALID, &section, "slots", detail);
        }
    }
}
