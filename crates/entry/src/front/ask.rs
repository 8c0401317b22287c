//! Reads a caller's request and refuses a bad one with what would be right.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, StatusCode, header};
use model::key::Key;
use model::name;
use model::object::Priority;
use serde_json::Value;

use crate::drive::Job;
use crate::fleet::Config;
use crate::node::Core;

/// Header that names the workspace.
const WORKSPACE: &str = "pumicevale-workspace";
/// Header with a shorter deadline, milliseconds.
const DEADLINE: &str = "pumicevale-deadline-ms";
/// Header with a less urgent priority.
const PRIORITY: &str = "pumicevale-priority";
/// Header that names a session, whose requests share a home.
const SESSION: &str = "pumicevale-session";
/// Header with the idempotency key.
const KEY: &str = "idempotency-key";
/// Longest session name.
const SESSION_MAX: usize = 256;

/// A request that was refused before anything else happened.
#[derive(Debug)]
pub struct Bad {
    /// Status.
    pub status: StatusCode,
    /// What is wrong and what would be right.
    pub why: String,
}

fn bad(why: impl Into<String>) -> Bad {
    Bad { status: StatusCode::BAD_REQUEST, why: why.into() }
}

fn missing(why: impl Into<String>) -> Bad {
    Bad { status: StatusCode::NOT_FOUND, why: why.into() }
}

/// Reads and checks a request.
pub async fn read(
    core: &Core,
    config: &Config,
    pipeline: &str,
    request: Request<Incoming>,
) -> Result<Job, Bad> {
    let arrived = core.clock.now();
    if config.number == 0 {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Bad { status, why: "no configuration is in force yet; come back soon".into() });
    }
    name::check(pipeline).map_err(|e| bad(format!("pipeline: {e}")))?;
    let Some(spec) = config.set.pipelines.get(pipeline) else {
        return Err(missing(format!("no pipeline is named {pipeline:?}")));
    };
    let headers = request.headers().clone();
    let Some(workspace) = header(&headers, WORKSPACE)? else {
        return Err(bad(format!("the header {WORKSPACE} is missing")));
    };
    let Some(w) = config.set.workspaces.get(workspace) else {
        return Err(missing(format!("no workspace is named {workspace:?}")));
    };
    let deadline = deadline(&headers, w.deadline)?;
    let priority = priority(&headers, w.priority)?;
    let session = session(&headers)?;
    let key = key(&headers)?;
    if let Some(step) = spec.stages.iter().find(|s| !s.repeatable)
        && key.is_none()
    {
        return Err(bad(format!(
            "step {} may not be repeated, so the request needs an Idempotency-Key (UUID version 7)",
            step.name
        )));
    }
    let input = body(core, request).await?;
    let due = arrived + Duration::from_millis(deadline);
    Ok(Job {
        request: core.request_id(),
        pipeline: pipeline.into(),
        workspace: workspace.into(),
        priority,
        input,
        session,
        key,
        arrived,
        deadline: due,
        until: due + Duration::from_millis(w.grace),
        streamed: wants_stream(&headers),
    })
}

fn header<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, Bad> {
    let mut all = headers.get_all(name).iter();
    let Some(value) = all.next() else {
        return Ok(None);
    };
    if all.next().is_some() {
        return Err(bad(format!("the header {name} stands more than once")));
    }
    let text = value.to_str().map_err(|_| bad(format!("the header {name} is not plain text")))?;
    Ok(Some(text))
}

fn deadline(headers: &HeaderMap, most: u64) -> Result<u64, Bad> {
    let Some(text) = header(headers, DEADLINE)? else {
        return Ok(most);
    };
    match text.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(ms.min(most)),
        _ => {
            Err(bad(format!("{DEADLINE}: {text:?} is not a whole number of milliseconds above 0")))
        }
    }
}

fn priority(headers: &HeaderMap, own: Priority) -> Result<Priority, Bad> {
    let asked = match header(headers, PRIORITY)? {
        None => return Ok(own),
        Some("urgent") => Priority::Urgent,
        Some("normal") => Priority::Normal,
        Some("patient") => Priority::Patient,
        Some(other) => {
            return Err(bad(format!("{PRIORITY}: {other:?} is not urgent, normal or patient")));
        }
    };
    // A caller may yield, but not push ahead of its workspace.
    Ok(asked.max(own))
}

fn session(headers: &HeaderMap) -> Result<Option<String>, Bad> {
    match header(headers, SESSION)? {
        Some(s) if s.is_empty() || s.len() > SESSION_MAX => {
            Err(bad(format!("{SESSION}: must have 1 to {SESSION_MAX} characters")))
        }
        found => Ok(found.map(String::from)),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<Key>, Bad> {
    let Some(text) = header(headers, KEY)? else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|e| bad(format!("Idempotency-Key: {e}")))
}

fn wants_stream(headers: &HeaderMap) -> bool {
    let accept = headers.get(header::ACCEPT).and_then(|v| v.to_str().ok()).unwrap_or_default();
    accept.contains(super::reply::EVENTS)
}

async fn body(core: &Core, request: Request<Incoming>) -> Result<Value, Bad> {
    let most = core.settings.body_max;
    let time = Duration::from_millis(core.settings.body_time);
    let collect = Limited::new(request.into_body(), most).collect();
    let whole = match tokio::time::timeout(time, collect).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Bad { status, why: format!("the body may have {most} bytes at most") });
        }
        Ok(Err(e)) => return Err(bad(format!("the body could not be read: {e}"))),
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            let why = format!("the body did not arrive within {} ms", time.as_millis());
            return Err(Bad { status, why });
        }
    };
    let value: Value =
        serde_json::from_slice(&whole).map_err(|e| bad(format!("the body is not JSON: {e}")))?;
    if !value.is_object() {
        return Err(bad("the body must be a JSON object, such as {\"text\": \"…\"}"));
    }
    check_types(&value)?;
    Ok(value)
}

/// Fields that every pipeline understands must have their types.
fn check_types(value: &Value) -> Result<(), Bad> {
    for field in ["text", "instruction", "prompt"] {
        if value.get(field).is_some_and(|v| !v.is_string()) {
            return Err(bad(format!("body.{field}: must be a string")));
        }
    }
    if value.get("tokens").is_some_and(|v| v.as_u64().is_none()) {
        return Err(bad("body.tokens: must be a whole number, 0 or more"));
    }
    Ok(())
}
