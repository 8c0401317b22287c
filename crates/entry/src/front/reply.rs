//! Responses to callers: statuses, headers, events.

use hyper::header::HeaderValue;
use hyper::{Response, StatusCode, header};
use model::answer::Answer;
use model::outcome::{OUTCOME_HEADER, Outcome, Reason, RequestReport};
use serde_json::json;
use util::http::{Body, json as json_body};

use crate::drive::ResponseEvent;

/// Media type of streamed responses.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Response to an invalid request, which was not run.
pub fn problem(status: StatusCode, why: &str) -> Response<Body> {
    let body = json!({ "outcome": Outcome::NotRun, "problem": why });
    with_outcome(json_body(status, &body), Outcome::NotRun, None)
}

/// Response with the whole answer, or with the report if the request did not complete.
pub fn answer(answer: &Answer) -> Response<Body> {
    if answer.end.outcome != Outcome::Complete {
        return report(&answer.end);
    }
    with_outcome(json_body(StatusCode::OK, answer), Outcome::Complete, None)
}

/// Response with the report of a request that did not complete.
pub fn report(report: &RequestReport) -> Response<Body> {
    with_outcome(json_body(status(report), report), report.outcome, report.retry_after)
}

fn with_outcome(
    mut response: Response<Body>,
    outcome: Outcome,
    retry_after: Option<u64>,
) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    if let Some(ms) = retry_after {
        // The header takes whole seconds; the body has the milliseconds.
        headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
    }
    response
}

fn status(report: &RequestReport) -> StatusCode {
    let reason = report.error.as_ref().map(|e| &e.reason);
    match (report.outcome, reason) {
        (Outcome::Complete, _) => StatusCode::OK,
        (Outcome::NotRun, Some(Reason::Limit | Reason::Overload)) => StatusCode::TOO_MANY_REQUESTS,
        (Outcome::NotRun, Some(Reason::OldKey | Reason::FutureKey)) => StatusCode::BAD_REQUEST,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::Failed, Some(Reason::Deadline)) => StatusCode::GATEWAY_TIMEOUT,
        (Outcome::Failed, _) => StatusCode::BAD_GATEWAY,
        (Outcome::Unknown, Some(Reason::Claimed)) => StatusCode::CONFLICT,
        (Outcome::Unknown, _) => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

/// One server-sent event.
pub fn event(out: &ResponseEvent) -> String {
    let (name, data) = match out {
        ResponseEvent::Chunk(chunk) => ("chunk", serde_json::to_string(chunk)),
        ResponseEvent::End(report, _) if report.outcome == Outcome::Complete => {
            ("end", serde_json::to_string(report))
        }
        ResponseEvent::End(report, _) => ("error", serde_json::to_string(report)),
    };
    format!("event: {name}\ndata: {}\n\n", data.expect("answers encode"))
}
