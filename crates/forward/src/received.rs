//! Bodies of callers' requests, which several attempts send.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use decide::callers::Stage;
use hyper::body::{Body, Frame, SizeHint};
use model::forward::Fingerprint;
use util::http::BodyParts;

use crate::capacity::Held;

/// A whole body, whose memory its clones share.
#[derive(Debug, Clone)]
pub struct ReceivedBody(Rc<Whole>);

#[derive(Debug)]
struct Whole {
    parts: Vec<Bytes>,
    len: usize,
    _held: Held,
}

impl ReceivedBody {
    /// A body that has arrived, with the memory that is held for its request.
    pub fn new(body: BodyParts, held: Held) -> Self {
        held.enter(Stage::Busy);
        let len = body.len();
        ReceivedBody(Rc::new(Whole { parts: body.into_parts(), len, _held: held }))
    }

    /// Fingerprint of these texts and the body.
    pub fn fingerprint(&self, texts: &[&[u8]]) -> Fingerprint {
        let pieces: Vec<&[u8]> = self.0.parts.iter().map(|p| &p[..]).collect();
        let texts = texts.iter().map(std::slice::from_ref);
        Fingerprint::of_pieces(texts.chain([&pieces[..]]))
    }

    /// The body of a request to a target or peer.
    pub fn send(&self) -> SentBody {
        SentBody { body: self.clone(), next: 0, left: self.0.len }
    }
}

/// Copy of a received body that is sent, part by part.
#[derive(Debug)]
pub struct SentBody {
    body: ReceivedBody,
    next: usize,
    left: usize,
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(part) = self.body.0.parts.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= part.len();
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
