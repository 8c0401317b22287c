//! Streams of events: passed on one whole event at a time, taken up at another
//! target where the route allows it, broken off visibly otherwise.

use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Response, StatusCode};

use super::exchange::Exchange;
use super::reply::Body;
use super::send::{AtTarget, Outcome, send};
use crate::stages::{RequestResults, StageError};
use crate::upstream::Connection;

/// Largest event.
const EVENT_MAX: usize = 1 << 20;
/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Why a stream did not go on.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StreamError {
    /// stream broke: {0}
    Broke(hyper::Error),
    /// stream ended within an event
    Torn,
    /// stream ended before its first event
    Empty,
    /// an event is too large
    TooLarge,
    /// target was silent for too long
    Silent,
    /// no event came in time
    Late,
}

impl StreamError {
    /// Whether the target's software failed, or took too long: a connection that broke tells of
    /// the target alone.
    pub fn is_of_target(&self) -> bool {
        !matches!(self, StreamError::Broke(_))
    }
}

/// Reads whole events.
pub struct EventReader {
    body: Incoming,
    buffer: BytesMut,
    _connection: Connection,
}

impl EventReader {
    /// Reads a target's answer.
    pub fn new(body: Incoming, connection: Connection) -> Self {
        EventReader { body, buffer: BytesMut::new(), _connection: connection }
    }

    /// The next event with its end; `None` once the stream has ended as it should.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            if let Some(n) = find_end(&self.buffer) {
                return Ok(Some(self.buffer.split_to(n).freeze()));
            }
            if self.buffer.len() > EVENT_MAX {
                return Err(StreamError::TooLarge);
            }
            match self.body.frame().await {
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(StreamError::Torn),
                Some(Err(e)) => return Err(StreamError::Broke(e)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

/// Length of the first whole event, its end included.
fn find_end(buffer: &[u8]) -> Option<usize> {
    let at = buffer.windows(EVENT_END.len()).position(|w| w == EVENT_END)?;
    Some(at + EVENT_END.len())
}

/// A stream whose head and first event are there.
pub struct Begun {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Reader of the rest.
    pub reader: EventReader,
    /// First event.
    pub first: Bytes,
    /// Counts the request at its target.
    pub at_target: AtTarget,
}

struct Relay {
    exchange: Rc<Exchange>,
    /// None while no target runs the request.
    reader: Option<EventReader>,
    first: Option<Bytes>,
    last_event: Option<u64>,
    /// Results that are held although nobody wants them, where they are not freed early.
    _kept: Option<RequestResults>,
    at_target: AtTarget,
    over: bool,
}

/// The answer that passes a begun stream on.
pub fn answer(
    exchange: Rc<Exchange>,
    begun: Begun,
    kept: Option<RequestResults>,
) -> Response<Body> {
    let Begun { status, headers, reader, first, at_target } = begun;
    let now = exchange.node.now();
    exchange.progress(|p| {
        p.tries.response_begun = true;
        p.first = Some(now);
    });
    let last_event = exchange.head.last_event;
    let relay = Relay {
        exchange,
        reader: Some(reader),
        first: Some(first),
        last_event,
        _kept: kept,
        at_target,
        over: false,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let item = relay.step().await?;
        Some((item.map(Frame::data), relay))
    });
    let body: Body = Box::pin(StreamBody::new(frames));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl Relay {
    /// The next event for the caller; an error breaks the connection off.
    async fn step(&mut self) -> Option<io::Result<Bytes>> {
        if self.over {
            return None;
        }
        loop {
            match self.next().await {
                Ok(Some(event)) => {
                    let number = self.exchange.node.dialect.event_number(&event);
                    if number.is_some() && number <= self.last_event {
                        // A second target began before the place it was told.
                        continue;
                    }
                    self.last_event = number.or(self.last_event);
                    return Some(Ok(event));
                }
                Ok(None) => {
                    self.over = true;
                    self.exchange.answered_whole();
                    self.exchange.log_end(200, "streamed");
                    return None;
                }
                Err(e) => {
                    let why = e.to_string();
                    self.exchange.broke_off_at(&self.at_target.target);
                    if e.is_of_target() {
                        self.at_target.bad();
                    }
                    self.exchange.progress(|p| p.why = why);
                    if !self.resume().await {
                        self.over = true;
                        self.exchange.log_end(200, "broken_off");
                        return Some(Err(io::Error::other(e)));
                    }
                }
            }
        }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let Some(reader) = &mut self.reader else {
            return Err(StreamError::Empty);
        };
        let exchange = &self.exchange;
        let reading = exchange.patiently(reader.next());
        match exchange.node.clock.until(exchange.deadline, reading).await {
            Some(Some(read)) => read,
            Some(None) => Err(StreamError::Silent),
            None => Err(StreamError::Late),
        }
    }

    /// Takes the stream up at another target after the last event; returns whether it goes on.
    async fn resume(&mut self) -> bool {
        // The earlier run ends before another one goes on in its place.
        self.reader = None;
        let exchange = &self.exchange;
        match exchange.node.clock.until(exchange.deadline, self.taken_up()).await {
            Some(Ok(begun)) => {
                let Begun { reader, first, at_target, .. } = *begun;
                self.reader = Some(reader);
                self.first = Some(first);
                self.at_target = at_target;
                true
            }
            Some(Err(NotResumed::Stages(e))) => {
                self.exchange.progress(|p| p.why = format!("stages were not made again: {e}"));
                false
            }
            Some(Err(NotResumed::Refused)) | None => false,
        }
    }

    /// The stream from the last event on, at another target. Its stages are made again once,
    /// near the first target that is asked: their results went with the first event.
    async fn taken_up(&self) -> Result<Box<Begun>, NotResumed> {
        let exchange = &self.exchange;
        let mut made = None;
        while let Some(choice) = exchange.next_target(None).await {
            made.take_if(|m| !exchange.is_inside(m));
            if made.is_none() && !exchange.route.stages.is_empty() {
                let again = exchange.make_stages_again(&choice.target).await;
                made = Some(again.map_err(NotResumed::Stages)?);
            }
            match send(exchange, choice, made.as_ref(), self.last_event).await {
                Outcome::Stream(begun) => return Ok(begun),
                Outcome::Nothing => {}
                Outcome::Whole { .. } | Outcome::InputGone => return Err(NotResumed::Refused),
            }
        }
        Err(NotResumed::Refused)
    }
}

/// Why a stream was not taken up at another target.
enum NotResumed {
    /// Its stages could not be made again.
    Stages(StageError),
    /// No target took it.
    Refused,
}
