//! Turns of connections on the thread that they share with other tasks.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::rt::Executor;
use tokio::task::coop;

/// Operations of its budget that a connection may use in one turn, each a read of its buffer's size.
const TURN_OPERATIONS: u32 = 8;
/// Operations of the runtime's budget for a task; if it has fewer, a turn is shorter.
const TASK_OPERATIONS: u32 = 128;

/// Runs the tasks of connections in short turns: one with bytes that need no answer of this process
/// would go on for as long as they come, as far as the runtime's budget goes.
#[derive(Debug, Clone, Copy)]
pub struct BoundedExecutor;

impl<F> Executor<F> for BoundedExecutor
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, task: F) {
        tokio::spawn(Turns(Box::pin(task)));
    }
}

struct Turns<F>(Pin<Box<F>>);

impl<F: Future> Future for Turns<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        for _ in TURN_OPERATIONS..TASK_OPERATIONS {
            match coop::poll_proceed(cx) {
                Poll::Ready(operation) => operation.made_progress(),
                Poll::Pending => return Poll::Pending,
            }
        }
        self.0.as_mut().poll(cx)
    }
}
