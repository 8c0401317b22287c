//! One attempt at one target: sends the call and receives its frames.

use decide::request::Event;
use model::attempt::{Attempt, Call, Cancel, Frame};
use model::outcome::Reason;
use tokio::sync::mpsc::UnboundedSender;
use util::http::{CallError, CallKind, Client, Lines};

/// Media type of a request body.
const JSON: &str = "application/json";
/// Body of the 503 response of a draining target.
const LEAVING_BODY: &str = "leaving";

/// What an attempt reports to its request.
#[derive(Debug)]
pub enum AttemptEvent {
    /// An event for the request's state machine.
    Event(Event),
    /// The target refused because it is draining.
    TargetLeaving(Attempt),
}

/// Sends a call and reports its frames until the stream ends.
pub async fn run(client: Client, peer: String, call: Call, out: UnboundedSender<AttemptEvent>) {
    let attempt = call.attempt.clone();
    let body = serde_json::to_vec(&call).expect("calls encode");
    let response = match client.post(&peer, "/run", JSON, body).await {
        Ok(response) => response,
        Err(e) => {
            if e.status() == Some(503) && e.to_string().ends_with(LEAVING_BODY) {
                let _ = out.send(AttemptEvent::TargetLeaving(attempt.clone()));
            }
            let _ = out.send(AttemptEvent::Event(failure_event(attempt, e)));
            return;
        }
    };
    let mut lines = Lines::new(&peer, response);
    let reason = loop {
        match lines.next().await {
            Ok(Some(line)) => match serde_json::from_slice::<Frame>(&line) {
                Ok(frame) => {
                    if out.send(AttemptEvent::Event(Event::Frame(frame))).is_err() {
                        return;
                    }
                }
                Err(e) => break Reason::Broken(format!("not a frame: {e}")),
            },
            Ok(None) => break Reason::Broken("ended early".into()),
            Err(e) => break Reason::Broken(e.kind.to_string()),
        }
    };
    let _ = out.send(AttemptEvent::Event(Event::Closed { attempt, reason }));
}

/// Event of a failed call. The target certainly did not run it if it was never sent, or was
/// answered with 503 or a 4xx; a 500 leaves that open.
fn failure_event(attempt: Attempt, e: CallError) -> Event {
    match e.kind {
        CallKind::NotSent(why) => Event::NotSent { attempt, reason: Reason::Unreachable(why) },
        CallKind::Status(503 | 400..=499, why) => {
            Event::NotSent { attempt, reason: Reason::Refused(why) }
        }
        other => Event::Closed { attempt, reason: Reason::Broken(other.to_string()) },
    }
}

/// Asks a target to stop an attempt, without waiting for the response.
pub fn cancel(client: Client, peer: String, attempt: Attempt) {
    tokio::spawn(async move {
        let body = serde_json::to_vec(&Cancel { attempt }).expect("cancels encode");
        let call = client.post(&peer, "/cancel", JSON, body);
        let _ = tokio::time::timeout(std::time::Duration::from_secs(1), call).await;
    });
}
