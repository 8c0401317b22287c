//! Parses a caller's request, and rejects an invalid one with a message that names the remedy.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, StatusCode, header};
use model::key::Key;
use model::name;
use model::object::Priority;
use serde_json::Value;

use crate::drive::RequestJob;
use crate::fleet::Config;
use crate::node::Core;

/// Header that names the workspace.
const WORKSPACE_HEADER: &str = "pumicevale-workspace";
/// Header that shortens the deadline, milliseconds.
const DEADLINE_HEADER: &str = "pumicevale-deadline-ms";
/// Header that lowers the priority.
const PRIORITY_HEADER: &str = "pumicevale-priority";
/// Header that names a session; requests of a session share a home.
const SESSION_HEADER: &str = "pumicevale-session";
/// Header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of a session name, bytes.
const MAX_SESSION_BYTES: usize = 256;

/// A request rejected during parsing, before it had any effect.
#[derive(Debug)]
pub struct InvalidRequest {
    pub status: StatusCode,
    /// What is wrong and how to correct it.
    pub message: String,
}

fn bad_request(message: impl Into<String>) -> InvalidRequest {
    InvalidRequest { status: StatusCode::BAD_REQUEST, message: message.into() }
}

fn not_found(message: impl Into<String>) -> InvalidRequest {
    InvalidRequest { status: StatusCode::NOT_FOUND, message: message.into() }
}

/// Parses and validates a request.
pub async fn read(
    core: &Core,
    config: &Config,
    pipeline: &str,
    request: Request<Incoming>,
) -> Result<RequestJob, InvalidRequest> {
    let arrived = core.clock.now();
    if config.number == 0 {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(InvalidRequest {
            status,
            message: "no configuration is in force yet; come back soon".into(),
        });
    }
    name::check(pipeline).map_err(|e| bad_request(format!("pipeline: {e}")))?;
    let Some(spec) = config.set.pipelines.get(pipeline) else {
        return Err(not_found(format!("no pipeline is named {pipeline:?}")));
    };
    let headers = request.headers().clone();
    let Some(workspace) = header(&headers, WORKSPACE_HEADER)? else {
        return Err(bad_request(format!("the header {WORKSPACE_HEADER} is missing")));
    };
    let Some(w) = config.set.workspaces.get(workspace) else {
        return Err(not_found(format!("no workspace is named {workspace:?}")));
    };
    let deadline = deadline(&headers, w.deadline)?;
    let priority = priority(&headers, w.priority)?;
    let session = session(&headers)?;
    let key = key(&headers)?;
    if let Some(step) = spec.stages.iter().find(|s| !s.repeatable)
        && key.is_none()
    {
        return Err(bad_request(format!(
            "step {} may not be repeated, so the request needs an Idempotency-Key (UUID version 7)",
            step.name
        )));
    }
    let input = body(core, request).await?;
    let due = arrived + Duration::from_millis(deadline);
    Ok(RequestJob {
        request: core.request_id(),
        pipeline: pipeline.into(),
        workspace: workspace.into(),
        priority,
        input,
        session,
        key,
        arrived,
        deadline: due,
        expires: due + Duration::from_millis(w.grace),
        streamed: wants_stream(&headers),
    })
}

fn header<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, InvalidRequest> {
    let mut all = headers.get_all(name).iter();
    let Some(value) = all.next() else {
        return Ok(None);
    };
    if all.next().is_some() {
        return Err(bad_request(format!("the header {name} stands more than once")));
    }
    let text =
        value.to_str().map_err(|_| bad_request(format!("the header {name} is not plain text")))?;
    Ok(Some(text))
}

fn deadline(headers: &HeaderMap, max: u64) -> Result<u64, InvalidRequest> {
    let Some(text) = header(headers, DEADLINE_HEADER)? else {
        return Ok(max);
    };
    match text.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(ms.min(max)),
        _ => Err(bad_request(format!(
            "{DEADLINE_HEADER}: {text:?} is not a whole number of milliseconds above 0"
        ))),
    }
}

fn priority(headers: &HeaderMap, default: Priority) -> Result<Priority, InvalidRequest> {
    let requested = match header(headers, PRIORITY_HEADER)? {
        None => return Ok(default),
        Some("urgent") => Priority::Urgent,
        Some("normal") => Priority::Normal,
        Some("patient") => Priority::Patient,
        Some(other) => {
            return Err(bad_request(format!(
                "{PRIORITY_HEADER}: {other:?} is not urgent, normal or patient"
            )));
        }
    };
    // A caller may lower its priority, but not raise it above that of its workspace.
    Ok(requested.max(default))
}

fn session(headers: &HeaderMap) -> Result<Option<String>, InvalidRequest> {
    match header(headers, SESSION_HEADER)? {
        Some(s) if s.is_empty() || s.len() > MAX_SESSION_BYTES => Err(bad_request(format!(
            "{SESSION_HEADER}: must have 1 to {MAX_SESSION_BYTES} characters"
        ))),
        found => Ok(found.map(String::from)),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<Key>, InvalidRequest> {
    let Some(text) = header(headers, KEY_HEADER)? else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|e| bad_request(format!("Idempotency-Key: {e}")))
}

fn wants_stream(headers: &HeaderMap) -> bool {
    let accept = headers.get(header::ACCEPT).and_then(|v| v.to_str().ok()).unwrap_or_default();
    accept.contains(super::reply::EVENT_STREAM)
}

async fn body(core: &Core, request: Request<Incoming>) -> Result<Value, InvalidRequest> {
    let max = core.settings.body_max;
    let time = Duration::from_millis(core.settings.body_time);
    let collect = Limited::new(request.into_body(), max).collect();
    let collected = match tokio::time::timeout(time, collect).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(InvalidRequest {
                status,
                message: format!("the body may have {max} bytes at most"),
            });
        }
        Ok(Err(e)) => return Err(bad_request(format!("the body could not be read: {e}"))),
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            let message = format!("the body did not arrive within {} ms", time.as_millis());
            return Err(InvalidRequest { status, message });
        }
    };
    let value: Value = serde_json::from_slice(&collected)
        .map_err(|e| bad_request(format!("the body is not JSON: {e}")))?;
    if !value.is_object() {
        return Err(bad_request("the body must be a JSON object, such as {\"text\": \"…\"}"));
    }
    check_types(&value)?;
    Ok(value)
}

/// Checks the types of the fields that every pipeline understands.
fn check_types(value: &Value) -> Result<(), InvalidRequest> {
    for field in ["text", "instruction", "prompt"] {
        if value.get(field).is_some_and(|v| !v.is_string()) {
            return Err(bad_request(format!("body.{field}: must be a string")));
        }
    }
    if value.get("tokens").is_some_and(|v| v.as_u64().is_none()) {
        return Err(bad_request("body.tokens: must be a whole number, 0 or more"));
    }
    Ok(())
}
