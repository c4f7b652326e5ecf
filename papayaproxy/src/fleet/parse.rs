//! Parses the INI text of a fleet document.

use super::check::validate;
use super::codes;
use super::document::{Document, Group, Kind, Leave, Model, Service, Upstream, Zone};
use super::error::DocumentError;
use super::fields::{Fields, Problems, shorten};
use super::render::digest_of;
use super::value;
use crate::base::constants::{DEADLINE_DEFAULT, DOCUMENT_BYTES_MAX};
use crate::base::digest::Digest;
use crate::base::name::{Name, is_name};
use crate::settings::parse_name;
use ini::{Ini, Properties};
use std::collections::HashSet;

/// Parses and validates a fleet document.
///
/// # Errors
/// Returns all problems found, each with its section, key and code.
pub fn parse(text: &str) -> Result<Document, DocumentError> {
    let mut problems = Problems::default();
    if text.len() > DOCUMENT_BYTES_MAX {
        let detail = format!("{} bytes, the limit is {DOCUMENT_BYTES_MAX}", text.len());
        problems.add(codes::DOCUMENT_OVERSIZED, "", "", detail);
        return Err(DocumentError { problems: problems.list });
    }
    let ini = match Ini::load_from_str_noescape(text) {
        Ok(ini) => ini,
        Err(error) => {
            let detail = format!("line {}: {}", error.line, error.msg);
            problems.add(codes::DOCUMENT_MALFORMED, "", "", detail);
            return Err(DocumentError { problems: problems.list });
        }
    };
    let mut document = Document::default();
    let stated = read_sections(&ini, &mut document, &mut problems);
    document.sort();
    document.digest = digest_of(&document);
    if stated.is_some_and(|d| d != document.digest) && problems.list.is_empty() {
        let detail = format!("the document's digest is {}", document.digest);
        problems.add(codes::DIGEST_MISMATCH, "fleet", "digest", detail);
    }
    problems.list.extend(validate(&document));
    if problems.list.is_empty() {
        return Ok(document);
    }
    Err(DocumentError { problems: problems.list })
}

/// Reads all sections into `document`; returns the stated digest, if any.
fn read_sections(ini: &Ini, document: &mut Document, problems: &mut Problems) -> Option<Digest> {
    let mut seen = HashSet::new();
    let mut stated = None;
    for (section, properties) in ini.iter() {
        let Some(section) = section else {
            for (key, _) in properties.iter() {
                problems.add(
                    codes::SECTION_UNKNOWN,
                    "",
                    &shorten(key),
                    "the key is outside any section",
                );
            }
            continue;
        };
        if !seen.insert(section) {
            problems.add(codes::SECTION_REPEATED, &shorten(section), "", "the section is repeated");
        }
        match section.split_once('.') {
            None if section == "fleet" => stated = read_fleet(properties, document, problems),
            None if section == "workspaces" => read_workspaces(properties, document, problems),
            Some((kind, name)) => read_item(kind, name, section, properties, document, problems),
            None => problems.add(codes::SECTION_UNKNOWN, &shorten(section), "", "unknown section"),
        }
    }
    if !seen.contains("fleet") {
        problems.add(codes::KEY_MISSING, "fleet", "", "the section is missing");
    }
    stated
}

fn read_fleet(
    properties: &Properties,
    document: &mut Document,
    problems: &mut Problems,
) -> Option<Digest> {
    let mut fields = Fields::open("fleet", properties.iter(), problems);
    document.fleet = fields.required("name", parse_name).unwrap_or_default();
    document.generation =
        fields.required("generation", value::parse_generation).unwrap_or_default();
    document.parent = fields.optional("parent", value::parse_digest).unwrap_or_default();
    let stated = fields.optional("digest", value::parse_digest);
    fields.finish();
    stated
}

fn read_workspaces(properties: &Properties, document: &mut Document, problems: &mut Problems) {
    let section = "workspaces";
    document.workspaces.reserve(properties.len());
    for (key, text) in properties.iter() {
        if !is_name(key) {
            problems.add(
                codes::NAME_INVALID,
                section,
                &shorten(key),
                "the workspace is not a valid name",
            );
            continue;
        }
        match value::parse_workspace(text.trim()) {
            Ok(workspace) => {
                if document.workspaces.insert(key.into(), workspace).is_some() {
                    problems.add(codes::KEY_REPEATED, section, key, "the workspace is repeated");
                }
            }
            Err(expected) => {
                let detail = format!("expected {expected}");
                problems.add(codes::VALUE_INVALID, section, key, detail);
            }
        }
    }
}

/// Reads the section of one named item, such as `[zone.east]`.
fn read_item(
    kind: &str,
    name: &str,
    section: &str,
    properties: &Properties,
    document: &mut Document,
    problems: &mut Problems,
) {
    if !is_name(name) {
        let detail = "the part after the first '.' is not a valid name";
        return problems.add(codes::NAME_INVALID, &shorten(section), "", detail);
    }
    let known = ["zone", "model", "service", "upstream", "group"];
    if !known.contains(&kind) {
        return problems.add(codes::SECTION_UNKNOWN, &shorten(section), "", "unknown section");
    }
    let mut fields = Fields::open(section, properties.iter(), problems);
    let name = Name::from(name);
    match kind {
        "zone" => drop(read_zone(&mut fields).map(|z| document.zones.insert(name, z))),
        "model" => drop(read_model(&mut fields).map(|m| document.models.insert(name, m))),
        "service" => drop(read_service(&mut fields).map(|s| document.services.insert(name, s))),
        "upstream" => drop(read_upstream(&mut fields).map(|u| document.upstreams.insert(name, u))),
        _ => drop(read_group(&mut fields).map(|g| document.groups.insert(name, g))),
    }
    fields.finish();
}

fn read_zone(fields: &mut Fields<'_>) -> Option<Zone> {
    Some(Zone { region: fields.required("region", parse_name)? })
}

fn read_model(fields: &mut Fields<'_>) -> Option<Model> {
    let version = fields.required("version", |t| value::parse_number(t, 1..=u32::MAX));
    let adapters = fields.names("adapters");
    Some(Model { version: version?, adapters })
}

fn read_service(fields: &mut Fields<'_>) -> Option<Service> {
    let model = fields.optional("model", parse_name);
    let idempotent = fields.required("idempotent", value::parse_flag);
    let deadline = fields.optional("deadline", value::parse_deadline).unwrap_or(DEADLINE_DEFAULT);
    let kind = model.map_or(Kind::Plain, Kind::Model);
    Some(Service { kind, idempotent: idempotent?, deadline })
}

fn read_upstream(fields: &mut Fields<'_>) -> Option<Upstream> {
    let zone = fields.required("zone", parse_name);
    let agent = fields.required("agent", value::parse_address);
    let services = fields.names("services");
    let role = fields.optional("role", value::parse_role).unwrap_or_default();
    let open = fields.optional("open", value::parse_flag).unwrap_or(true);
    let fencing = fields.optional("fencing", value::parse_fencing).unwrap_or_default();
    let leaves = read_leave(fields);
    Some(Upstream { zone: zone?, agent: agent?, services, role, open, leaves, fencing })
}

fn read_leave(fields: &mut Fields<'_>) -> Option<Leave> {
    let from = fields.optional("leave-from", value::parse_date);
    let until = fields.optional("leave-until", value::parse_date);
    if from.is_some() != until.is_some() {
        let key = if from.is_some() { "leave-until" } else { "leave-from" };
        fields.report(
            codes::LEAVE_INVALID,
            key,
            "a planned stop needs both leave-from and leave-until",
        );
    }
    Some(Leave { from: from?, until: until? })
}

fn read_group(fields: &mut Fields<'_>) -> Option<Group> {
    let model = fields.required("model", parse_name);
    let ranks = fields.names("ranks");
    let layers = fields.required("layers", value::parse_size);
    let experts = fields.required("experts", value::parse_size);
    let slots = fields.required("slots", value::parse_size);
    let skew = fields.required("skew-weight", value::parse_weight);
    let moves = fields.required("move-weight", value::parse_weight);
    Some(Group {
        model: model?,
        ranks,
        layers: layers?,
        experts: experts?,
        slots: slots?,
        skew_weight: skew?,
        move_weight: moves?,
    })
}
