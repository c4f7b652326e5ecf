//! Routes requests to pages and form handlers.

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
use super::server::typed_response;
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

type PageResult = Result<Response<Body>, PageError>;

/// State shared by all requests.
pub(crate) struct ConsoleState {
    pub(crate) guard: Guard,
    pub(crate) source: Source,
}

/// An authenticated request.
pub(crate) struct OperatorRequest {
    pub(crate) operator: Name,
    pub(crate) token: String,
    pub(crate) now: SystemTime,
    pub(crate) path: String,
    pub(crate) form: Form,
}

impl OperatorRequest {
    fn context<'a>(&'a self, current: &'a Document, draft: &'a Draft) -> Context<'a> {
        Context { operator: &self.operator, token: &self.token, current, draft }
    }
}

/// Handles a GET: a page on the document in force.
pub(crate) async fn handle_get(state: &ConsoleState, request: &OperatorRequest) -> PageResult {
    let current = state.source.current().await?;
    let draft = Draft::new(&current);
    let context = request.context(&current, &draft);
    if request.path == "/" {
        let survey = state.source.survey().await;
        return Ok(html(glance::overview(&context, &survey, request.now)));
    }
    page(&context, &request.path, request).map(html)
}

/// Handles a POST: a step of editing a draft.
pub(crate) async fn handle_post(state: &ConsoleState, request: &OperatorRequest) -> PageResult {
    let current = state.source.current().await?;
    let mut draft = Draft::from_form(&request.form, &current)?;
    match request.path.as_str() {
        "/continue" if request.form.text("to") == "/preview" => {
            show_preview(state, request, &current, &draft, &[]).await
        }
        "/continue" => {
            let context = request.context(&current, &draft);
            page(&context, request.form.text("to"), request).map(html)
        }
        "/propose" => propose_week(request, &current, &draft).map(html),
        "/merge" => merge_draft(state, request, &current, &draft).await,
        "/document" => download_document(state, request, &current, &draft).await,
        path => {
            edit(path, &mut draft.document, &request.form)?;
            draft.document = draft.document.clone().sealed();
            show_preview(state, request, &current, &draft, &[]).await
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
    typed_response(HTML, markup.into_string())
}

/// Renders a page with forms for the draft in `context`.
fn page(context: &Context<'_>, path: &str, request: &OperatorRequest) -> Result<Markup, PageError> {
    let item = request.form.text("item");
    let document = &context.draft.document;
    let unknown = || PageError::field("item", "a name of the document");
    match path {
        "/cleaning" => Ok(cleaning::cleaning(context, None, request.now)),
        "/weights" => Ok(weights::weights(context)),
        "/upstreams" if item.is_empty() => Ok(upstreams::list(context)),
        "/upstreams" => {
            let (name, upstream) = document.upstreams.get_key_value(item).ok_or_else(unknown)?;
            Ok(upstreams::item(context, name, upstream))
        }
        "/workspaces" if item.is_empty() => {
            let skip = request.form.text("skip").parse().unwrap_or(0);
            Ok(workspaces::list(context, request.form.text("find"), skip))
        }
        "/workspaces" => {
            let (name, workspace) = document.workspaces.get_key_value(item).ok_or_else(unknown)?;
            Ok(workspaces::item(context, name, workspace))
        }
        _ => Err(PageError::new(codes::PAGE_UNKNOWN, path)),
    }
}

fn propose_week(
    request: &OperatorRequest,
    current: &Document,
    draft: &Draft,
) -> Result<Markup, PageError> {
    let start = date(&request.form, "start")?.unwrap_or(request.now);
    let length = match request.form.text("length") {
        "" => STOP_DEFAULT,
        _ => request.form.value("length", parse_length)?,
    };
    let proposal = propose(&draft.document, start, length);
    Ok(cleaning::cleaning(&request.context(current, draft), Some(&proposal), start))
}

fn parse_length(text: &str) -> Result<Duration, String> {
    let length = crate::settings::parse_duration(text)?;
    let fits = (Duration::from_secs(60)..=super::constants::WEEK).contains(&length);
    if fits { Ok(length) } else { Err("a duration from 1m to 7days".to_owned()) }
}

async fn show_preview(
    state: &ConsoleState,
    request: &OperatorRequest,
    current: &Document,
    draft: &Draft,
    conflicts: &[Change],
) -> PageResult {
    let context = request.context(current, draft);
    if draft.base != current.digest {
        return Ok(show_replaced(state, &context));
    }
    let survey = state.source.survey().await;
    check_generations(current, survey.statuses())?;
    let changed = changes(current, &draft.document);
    let sealed = draft.seal(current);
    let problems = sealed.as_ref().err().map_or(0, |e| e.problems.len());
    tracing::info!(
        event = events::CHANGE_PREVIEWED,
        operator = %request.operator,
        page = %request.path,
        generation = current.generation + 1,
        changes = changed.len(),
        problems,
        "change previewed"
    );
    let next = match sealed {
        Ok(next) => next,
        Err(error) => {
            // An invalid draft cannot be parsed again, so the forms of this page carry none.
            let unchanged = Draft::new(current);
            let context = request.context(current, &unchanged);
            let mut response = html(preview::invalid(&context, &changed, &error.problems));
            *response.status_mut() = PageError::new(codes::DOCUMENT_INVALID, "").status();
            return Ok(response);
        }
    };
    let statuses: Vec<&Status> = survey.statuses().collect();
    let effects = effects(current, &next, &statuses);
    Ok(html(preview::preview(&context, &next, &changed, &effects, conflicts)))
}

/// Refuses a change while a process has a newer document than the platform serves.
///
/// The next generation would not be higher than the one that process has.
fn check_generations<'a>(
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

fn show_replaced(state: &ConsoleState, context: &Context<'_>) -> Response<Body> {
    tracing::info!(
        event = events::PARENT_LOST,
        operator = %context.operator,
        parent = %context.draft.base,
        generation = context.current.generation,
        "draft is based on a replaced document"
    );
    let base = state.source.recent(context.draft.base);
    let theirs = base.as_ref().map(|b| changes(b, context.current));
    let mine = base.as_ref().map(|b| changes(b, &context.draft.document));
    let merges = base.is_some();
    let page = preview::replaced(context, theirs.as_deref(), mine.as_deref(), merges);
    let mut response = html(page);
    *response.status_mut() = PageError::new(codes::PARENT_REPLACED, "").status();
    response
}

async fn merge_draft(
    state: &ConsoleState,
    request: &OperatorRequest,
    current: &Document,
    draft: &Draft,
) -> PageResult {
    let Some(base) = state.source.recent(draft.base) else {
        return Ok(show_replaced(state, &request.context(current, draft)));
    };
    let merged = merge(&base, &draft.document, current)?;
    let draft = Draft { base: current.digest, document: merged.document };
    show_preview(state, request, current, &draft, &merged.conflicts).await
}

async fn download_document(
    state: &ConsoleState,
    request: &OperatorRequest,
    current: &Document,
    draft: &Draft,
) -> PageResult {
    if draft.base != current.digest {
        return Ok(show_replaced(state, &request.context(current, draft)));
    }
    let survey = state.source.survey().await;
    check_generations(current, survey.statuses())?;
    let sealed = draft.seal(current);
    let next = sealed.map_err(|e| PageError::new(codes::DOCUMENT_INVALID, e.to_string()))?;
    tracing::info!(
        event = events::DOCUMENT_HANDED_OUT,
        operator = %request.operator,
        generation = next.generation,
        digest = %next.digest,
        parent = %next.parent,
        "document downloaded"
    );
    let name = format!("attachment; filename=\"fleet-{}.ini\"", next.generation);
    let mut response = typed_response("text/plain; charset=utf-8", render(&next));
    if let Ok(value) = HeaderValue::from_str(&name) {
        response.headers_mut().insert(CONTENT_DISPOSITION, value);
    }
    Ok(response)
}
