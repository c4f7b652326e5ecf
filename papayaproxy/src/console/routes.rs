//! Which page answers what.

use super::constants::STOP_DEFAULT;
use super::draft::Draft;
use super::edit::{date, edit_cleaning, edit_upstream, edit_weights, edit_workspace};
use super::effects::effects;
use super::error::PageError;
use super::form::Form;
use super::guard::Guard;
use super::merge::{changes, merge};
use super::pages::{Context, cleaning, glance, preview, upstreams, weights, workspaces};
use super::plan::propose;
use super::server::typed;
use super::source::Source;
use super::{codes, events};
use crate::base::http::Body;
use crate::base::name::Name;
use crate::fleet::{Change, Document, render};
use crate::telemetry::Status;
use hyper::Response;
use hyper::header::{CONTENT_DISPOSITION, HeaderValue};
use maud::Markup;
use std::time::{Duration, SystemTime};

/// Content type of the pages.
const HTML: &str = "text/html; charset=utf-8";

type Answer = Result<Response<Body>, PageError>;

/// What all requests share.
pub(crate) struct Desk {
    pub(crate) guard: Guard,
    pub(crate) source: Source,
}

/// One request of an operator.
pub(crate) struct Visit {
    pub(crate) operator: Name,
    pub(crate) mark: String,
    pub(crate) now: SystemTime,
    pub(crate) path: String,
    pub(crate) form: Form,
}

impl Visit {
    fn context<'a>(&'a self, current: &'a Document, draft: &'a Draft) -> Context<'a> {
        Context { operator: &self.operator, mark: &self.mark, current, draft }
    }
}

/// Answers a GET: a page on the document in force.
pub(crate) async fn show(desk: &Desk, visit: &Visit) -> Answer {
    let current = desk.source.current().await?;
    let draft = Draft::begin(&current);
    let context = visit.context(&current, &draft);
    if visit.path == "/" {
        let survey = desk.source.survey().await;
        return Ok(html(glance::glance(&context, &survey, visit.now)));
    }
    page(&context, &visit.path, visit).map(html)
}

/// Answers a POST: a step of a change.
pub(crate) async fn take(desk: &Desk, visit: &Visit) -> Answer {
    let current = desk.source.current().await?;
    let mut draft = Draft::resume(&visit.form, &current)?;
    match visit.path.as_str() {
        "/continue" if visit.form.text("to") == "/preview" => {
            show_preview(desk, visit, &current, &draft, &[]).await
        }
        "/continue" => {
            let context = visit.context(&current, &draft);
            page(&context, visit.form.text("to"), visit).map(html)
        }
        "/propose" => propose_week(visit, &current, &draft).map(html),
        "/merge" => merge_draft(desk, visit, &current, &draft).await,
        "/document" => hand_out(desk, visit, &current, &draft).await,
        path => {
            edit(path, &mut draft.document, &visit.form)?;
            draft.document = draft.document.clone().sealed();
            show_preview(desk, visit, &current, &draft, &[]).await
        }
    }
}

pub(crate) fn edit(path: &str, document: &mut Document, form: &Form) -> Result<(), PageError> {
    match path {
        "/cleaning" => edit_cleaning(document, form),
        "/upstreams" => edit_upstream(document, form),
        "/workspaces" => edit_workspace(document, form),
        "/weights" => edit_weights(document, form),
        _ => Err(PageError::new(codes::PAGE_UNKNOWN, path)),
    }
}

fn html(markup: Markup) -> Response<Body> {
    typed(HTML, markup.into_string())
}

/// A page with forms, on the document in force or on a change of it.
fn page(context: &Context<'_>, path: &str, visit: &Visit) -> Result<Markup, PageError> {
    let item = visit.form.text("item");
    let document = &context.draft.document;
    let unknown = || PageError::field("item", "a name of the document");
    match path {
        "/cleaning" => Ok(cleaning::cleaning(context, None, visit.now)),
        "/weights" => Ok(weights::weights(context)),
        "/upstreams" if item.is_empty() => Ok(upstreams::list(context)),
        "/upstreams" => {
            let (name, upstream) = document.upstreams.get_key_value(item).ok_or_else(unknown)?;
            Ok(upstreams::item(context, name, upstream))
        }
        "/workspaces" if item.is_empty() => {
            let skip = visit.form.text("skip").parse().unwrap_or(0);
            Ok(workspaces::list(context, visit.form.text("find"), skip))
        }
        "/workspaces" => {
            let (name, workspace) = document.workspaces.get_key_value(item).ok_or_else(unknown)?;
            Ok(workspaces::item(context, name, workspace))
        }
        _ => Err(PageError::new(codes::PAGE_UNKNOWN, path)),
    }
}

fn propose_week(visit: &Visit, current: &Document, draft: &Draft) -> Result<Markup, PageError> {
    let start = date(&visit.form, "start")?.unwrap_or(visit.now);
    let length = match visit.form.text("length") {
        "" => STOP_DEFAULT,
        _ => visit.form.value("length", parse_length)?,
    };
    let proposal = propose(&draft.document, start, length);
    Ok(cleaning::cleaning(&visit.context(current, draft), Some(&proposal), start))
}

fn parse_length(text: &str) -> Result<Duration, String> {
    let length = crate::settings::parse_duration(text)?;
    let fits = (Duration::from_secs(60)..=super::constants::WEEK).contains(&length);
    if fits { Ok(length) } else { Err("a duration from 1m to 7days".to_owned()) }
}

async fn show_preview(
    desk: &Desk,
    visit: &Visit,
    current: &Document,
    draft: &Draft,
    conflicts: &[Change],
) -> Answer {
    let context = visit.context(current, draft);
    if draft.base != current.digest {
        return Ok(show_replaced(desk, &context));
    }
    let survey = desk.source.survey().await;
    check_stale(current, survey.statuses())?;
    let changed = changes(current, &draft.document);
    let sealed = draft.seal(current);
    let problems = sealed.as_ref().err().map_or(0, |e| e.problems.len());
    tracing::info!(
        event = events::CHANGE_PREVIEWED,
        operator = %visit.operator,
        page = %visit.path,
        generation = current.generation + 1,
        changes = changed.len(),
        problems,
        "change previewed"
    );
    let next = match sealed {
        Ok(next) => next,
        Err(error) => {
            // The forms of this page carry no draft that could not be read back.
            let begun = Draft::begin(current);
            let context = visit.context(current, &begun);
            let mut response = html(preview::invalid(&context, &changed, &error.problems));
            *response.status_mut() = PageError::new(codes::DOCUMENT_INVALID, "").status();
            return Ok(response);
        }
    };
    let statuses: Vec<&Status> = survey.statuses().collect();
    let effects = effects(current, &next, &statuses);
    Ok(html(preview::preview(&context, &next, &changed, &effects, conflicts)))
}

/// Refuses to number a document after one that is older than what processes have.
fn check_stale<'a>(
    current: &Document,
    statuses: impl Iterator<Item = &'a Status>,
) -> Result<(), PageError> {
    let highest = statuses.max_by_key(|s| s.generation);
    match highest.filter(|s| s.generation > current.generation) {
        None => Ok(()),
        Some(status) => {
            let detail = format!(
                "{} has generation {}, the platform serves {}",
                status.name, status.generation, current.generation
            );
            Err(PageError::new(codes::PLATFORM_STALE, detail))
        }
    }
}

fn show_replaced(desk: &Desk, context: &Context<'_>) -> Response<Body> {
    tracing::info!(
        event = events::PARENT_LOST,
        operator = %context.operator,
        parent = %context.draft.base,
        generation = context.current.generation,
        "another document came first"
    );
    let base = desk.source.recent(context.draft.base);
    let theirs = base.as_ref().map(|b| changes(b, context.current));
    let mine = base.as_ref().map(|b| changes(b, &context.draft.document));
    let merges = base.is_some();
    let page = preview::replaced(context, theirs.as_deref(), mine.as_deref(), merges);
    let mut response = html(page);
    *response.status_mut() = PageError::new(codes::PARENT_REPLACED, "").status();
    response
}

async fn merge_draft(desk: &Desk, visit: &Visit, current: &Document, draft: &Draft) -> Answer {
    let Some(base) = desk.source.recent(draft.base) else {
        return Ok(show_replaced(desk, &visit.context(current, draft)));
    };
    let merged = merge(&base, &draft.document, current)?;
    let draft = Draft { base: current.digest, document: merged.document };
    show_preview(desk, visit, current, &draft, &merged.conflicts).await
}

async fn hand_out(desk: &Desk, visit: &Visit, current: &Document, draft: &Draft) -> Answer {
    if draft.base != current.digest {
        return Ok(show_replaced(desk, &visit.context(current, draft)));
    }
    let survey = desk.source.survey().await;
    check_stale(current, survey.statuses())?;
    let sealed = draft.seal(current);
    let next = sealed.map_err(|e| PageError::new(codes::DOCUMENT_INVALID, e.to_string()))?;
    tracing::info!(
        event = events::DOCUMENT_HANDED_OUT,
        operator = %visit.operator,
        generation = next.generation,
        digest = %next.digest,
        parent = %next.parent,
        "document handed out"
    );
    let name = format!("attachment; filename=\"fleet-{}.ini\"", next.generation);
    let mut response = typed("text/plain; charset=utf-8", render(&next));
    if let Ok(value) = HeaderValue::from_str(&name) {
        response.headers_mut().insert(CONTENT_DISPOSITION, value);
    }
    Ok(response)
}
