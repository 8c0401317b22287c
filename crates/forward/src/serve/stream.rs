//! Event streams, forwarded one complete event at a time. An interrupted stream is resumed at
//! another target if the route allows it; otherwise the caller's connection is closed before the
//! end of the body, so that the caller notices.

use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{HeaderMap, Response, StatusCode};
use model::forward::{Repeat, StreamOrigin, Target};

use super::exchange::Exchange;
use super::replace::RunEnd;
use super::reply::Body;
use super::send::{InFlightGuard, Outcome, send_or_replace};
use crate::memory::{AnswerMemory, HeldMemory};
use crate::repeat::RepeatGuard;
use crate::stages::{RequestResults, StageError};
use crate::streams;
use crate::upstream::{AnswerBody, AnswerError, Connection};

const MAX_EVENT_BYTES: usize = 1 << 20;
const EVENT_TERMINATOR: &[u8] = b"\n\n";

/// Error that interrupted a stream.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StreamError {
    /// stream broke: {0}
    Interrupted(AnswerError),
    /// stream ended within an event
    Truncated,
    /// stream ended before its first event
    Empty,
    /// an event is too large
    TooLarge,
    /// target closed before it had read the request
    Unread,
    /// no event came in time
    DeadlineExceeded,
}

impl StreamError {
    /// Whether the target's software failed or took too long, which counts against its version. A
    /// broken connection only says something about the target itself.
    pub fn is_target_fault(&self) -> bool {
        !matches!(self, StreamError::Interrupted(AnswerError::Broken(_)))
    }
}

/// Reads complete events.
pub struct EventReader {
    body: AnswerBody,
    buffer: BytesMut,
    /// Length of the begin of the buffer in which no event ends.
    searched: usize,
    held: HeldMemory,
    connection: Connection,
}

impl EventReader {
    /// Creates a reader for a target's response.
    pub fn new(memory: &AnswerMemory, body: AnswerBody, connection: Connection) -> Self {
        let held = memory.open(MAX_EVENT_BYTES);
        EventReader { body, buffer: BytesMut::new(), searched: 0, held, connection }
    }

    /// Takes the first complete event out of the buffer.
    fn take_event(&mut self) -> Option<Bytes> {
        let Some(end) = find_end(&self.buffer, self.searched) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let event = self.buffer.split_to(end).freeze();
        self.held.shrink(self.buffer.len());
        Some(event)
    }

    /// The next event with its terminator; `None` once the stream has ended properly.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(StreamError::TooLarge);
            }
            self.held.grow(self.buffer.len()).await;
            match self.body.frame().await {
                None if self.buffer.is_empty() && self.connection.wait_sent().await => {
                    return Ok(None);
                }
                None if self.buffer.is_empty() => return Err(StreamError::Unread),
                None => return Err(StreamError::Truncated),
                Some(Err(e)) => return Err(StreamError::Interrupted(e)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

/// Length of the first complete event, including its terminator, which ends after `searched`.
fn find_end(buffer: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(EVENT_TERMINATOR.len() - 1);
    let mut ends = buffer[from..].windows(EVENT_TERMINATOR.len());
    Some(from + ends.position(|w| w == EVENT_TERMINATOR)? + EVENT_TERMINATOR.len())
}

/// A stream whose head and first event have arrived.
pub struct StartedStream {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// Reader of the events after the first one.
    pub reader: EventReader,
    pub first_event: Bytes,
    pub in_flight: InFlightGuard,
}

struct StreamForwarder {
    exchange: Rc<Exchange>,
    /// `None` while no target runs the request.
    reader: Option<EventReader>,
    first_event: Option<Bytes>,
    last_event: Option<u64>,
    /// Results that are kept until the end of the stream if they are not freed early.
    _results: Option<RequestResults>,
    in_flight: InFlightGuard,
    is_finished: bool,
}

/// The response that forwards a started stream.
pub fn response(
    exchange: Rc<Exchange>,
    started: StartedStream,
    results: Option<RequestResults>,
) -> Response<Body> {
    let StartedStream { status, headers, reader, first_event, in_flight } = started;
    let now = exchange.node.now();
    exchange.progress(|p| {
        p.attempts.response_begun = true;
        p.first_event_at = Some(now);
    });
    if exchange.route.repeat == Repeat::StreamResumable && exchange.origin.is_none() {
        record_origin(&exchange, &in_flight.target);
    }
    let last_event = exchange.head.last_event;
    let forwarder = StreamForwarder {
        exchange,
        reader: Some(reader),
        first_event: Some(first_event),
        last_event,
        _results: results,
        in_flight,
        is_finished: false,
    };
    let frames = stream::unfold(forwarder, |mut forwarder| async move {
        let item = forwarder.forward_next().await?;
        Some((item.map(Frame::data), forwarder))
    });
    let body: Body = Box::pin(StreamBody::new(frames));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Records that a stream begins at this target.
fn record_origin(exchange: &Exchange, target: &Target) {
    let version = target.version.clone();
    exchange.progress(|p| p.begun_at = Some(version.clone()));
    let origin = StreamOrigin { service: target.service.clone(), version };
    let workspace = exchange.workspace.as_ref();
    let time_left = exchange.caller_deadline.since(exchange.node.now());
    streams::record_origin(&exchange.node, &exchange.head, workspace, origin, time_left);
}

impl StreamForwarder {
    /// The next event for the caller; an error closes the connection.
    async fn forward_next(&mut self) -> Option<io::Result<Bytes>> {
        if self.is_finished {
            return None;
        }
        loop {
            match self.next_event().await {
                Ok(Some(event)) => {
                    let number = self.exchange.node.dialect.event_number(&event);
                    if number.is_some() && number <= self.last_event {
                        // A second target started before the event that it was to resume after.
                        continue;
                    }
                    self.last_event = number.or(self.last_event);
                    return Some(Ok(event));
                }
                Ok(None) => {
                    self.is_finished = true;
                    self.exchange.record_completion();
                    self.exchange.log_end(200, "streamed");
                    return None;
                }
                Err(e) => {
                    let reason = e.to_string();
                    self.exchange.record_interruption(&self.in_flight.target);
                    if e.is_target_fault() {
                        self.in_flight.report_failure();
                    }
                    self.exchange.progress(|p| p.reason = reason);
                    // Without a number, another target would start from the first event.
                    let is_numbered = self.last_event.is_some();
                    if !is_numbered || !self.resume().await {
                        self.is_finished = true;
                        self.exchange.log_end(200, "broken_off");
                        return Some(Err(io::Error::other(e)));
                    }
                }
            }
        }
    }

    async fn next_event(&mut self) -> Result<Option<Bytes>, StreamError> {
        if let Some(first_event) = self.first_event.take() {
            return Ok(Some(first_event));
        }
        let Some(reader) = &mut self.reader else {
            return Err(StreamError::Empty);
        };
        let (exchange, last_event) = (&self.exchange, self.last_event);
        let target = &self.in_flight.target.id;
        let replace = async || match last_event {
            Some(_) => resume_elsewhere(exchange, last_event).await.ok(),
            None => None,
        };
        let reading = exchange.run_or_replace(target, reader.next(), Result::is_ok, replace);
        match exchange.node.clock.timeout_at(exchange.deadline, reading).await {
            Some(RunEnd::Outcome(read)) => {
                if matches!(read, Ok(Some(_))) {
                    exchange.node.record_sign(target);
                }
                read
            }
            Some(RunEnd::Replaced(started, failed)) => {
                Ok(Some(self.replace_run(*started, failed.and_then(Result::err))))
            }
            None => Err(StreamError::DeadlineExceeded),
        }
    }

    /// Goes on with another target's run; returns its first event.
    fn replace_run(&mut self, started: StartedStream, failed: Option<StreamError>) -> Bytes {
        self.exchange.record_interruption(&self.in_flight.target);
        match failed {
            None => self.in_flight.report_silence(),
            Some(e) if e.is_target_fault() => self.in_flight.report_failure(),
            Some(_) => {}
        }
        self.adopt(started)
    }

    /// Reads from another run from now on; returns its first event.
    fn adopt(&mut self, run: StartedStream) -> Bytes {
        self.reader = Some(run.reader);
        self.in_flight = run.in_flight;
        run.first_event
    }

    /// Resumes the stream at another target after the last event; returns whether that succeeded.
    async fn resume(&mut self) -> bool {
        // The earlier run must end before another one replaces it.
        self.reader = None;
        let exchange = &self.exchange;
        let resuming = resume_elsewhere(exchange, self.last_event);
        match exchange.node.clock.timeout_at(exchange.deadline, resuming).await {
            Some(Ok(started)) => {
                self.first_event = Some(self.adopt(*started));
                true
            }
            Some(Err(ResumeError::Stages(e))) => {
                self.exchange.progress(|p| p.reason = format!("stages were not made again: {e}"));
                false
            }
            Some(Err(ResumeError::Refused)) | None => false,
        }
    }
}

/// Starts a stream at another target, after the last event. Its stages are rerun once, near the
/// first target that is tried: their results were freed at the first event.
async fn resume_elsewhere(
    exchange: &Rc<Exchange>,
    last_event: Option<u64>,
) -> Result<Box<StartedStream>, ResumeError> {
    let mut results = None;
    while let Some(mut choice) = exchange.next_target(None).await {
        results.take_if(|m| !exchange.is_result_allowed(m));
        if results.is_none() && !exchange.route.stages.is_empty() {
            // The calls of the stages count as repeats even if the stream is not sent.
            choice.repeat.take().into_iter().for_each(RepeatGuard::spend);
            let rerun = exchange.rerun_stages(&choice.target).await;
            results = Some(rerun.map_err(ResumeError::Stages)?);
        }
        match send_or_replace(exchange, choice, results.as_ref(), last_event).await {
            Outcome::Stream(started) => return Ok(started),
            Outcome::NoResponse => {}
            Outcome::Complete { .. } | Outcome::InputLost => return Err(ResumeError::Refused),
        }
    }
    Err(ResumeError::Refused)
}

/// Why a stream was not resumed at another target.
enum ResumeError {
    /// Its stages could not be rerun.
    Stages(StageError),
    /// No target resumed it.
    Refused,
}
