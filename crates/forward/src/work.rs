//! Requests that this node owes an answer, from their heads until the answers have left.

use std::cell::Cell;
use std::rc::Rc;

use model::Time;

use crate::node::Node;

/// What open work waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkStage {
    /// The answer to a peer's message, which may be long in coming and is not owed.
    Waiting,
    /// The body of a request.
    Receiving,
    /// A target or a peer.
    Running,
    /// The caller, who reads the answer.
    Sending,
    /// A peer, who reads the answer to its message.
    Message,
}

impl WorkStage {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            WorkStage::Waiting => "waiting",
            WorkStage::Receiving => "receiving",
            WorkStage::Running => "running",
            WorkStage::Sending => "sending",
            WorkStage::Message => "message",
        }
    }
}

/// Number of open requests and messages at each stage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// Messages of peers without an answer.
    pub waiting: usize,
    /// Requests whose bodies are on the way.
    pub receiving: usize,
    /// Requests at a target or a peer.
    pub running: usize,
    /// Requests whose answers have not left.
    pub sending: usize,
    /// Answers to messages of peers.
    pub messages: usize,
}

impl WorkCounts {
    /// All open requests.
    pub fn requests(&self) -> usize {
        self.receiving + self.running + self.sending
    }

    /// Counts with their stages.
    pub fn by_stage(&self) -> [(WorkStage, usize); 5] {
        [
            (WorkStage::Waiting, self.waiting),
            (WorkStage::Receiving, self.receiving),
            (WorkStage::Running, self.running),
            (WorkStage::Sending, self.sending),
            (WorkStage::Message, self.messages),
        ]
    }

    fn of(&mut self, stage: WorkStage) -> &mut usize {
        match stage {
            WorkStage::Waiting => &mut self.waiting,
            WorkStage::Receiving => &mut self.receiving,
            WorkStage::Running => &mut self.running,
            WorkStage::Sending => &mut self.sending,
            WorkStage::Message => &mut self.messages,
        }
    }
}

/// One open request or message, counted until dropped.
pub struct OpenWork {
    node: Rc<Node>,
    stage: Cell<WorkStage>,
    id: Cell<String>,
    deadline: Cell<Option<Time>>,
    /// Whether its body was read to its end.
    is_read: Cell<bool>,
    /// Whether all of its answer is in this node's memory.
    is_answer_whole: Cell<bool>,
}

impl OpenWork {
    /// Begins to count.
    pub fn new(node: &Rc<Node>, stage: WorkStage) -> Rc<Self> {
        node.count_work(|counts| *counts.of(stage) += 1);
        let (node, stage) = (node.clone(), Cell::new(stage));
        Rc::new(OpenWork {
            node,
            stage,
            id: Cell::default(),
            deadline: Cell::default(),
            is_read: Cell::default(),
            is_answer_whole: Cell::default(),
        })
    }

    /// Current stage.
    pub fn stage(&self) -> WorkStage {
        self.stage.get()
    }

    /// Moves on to another stage.
    pub fn enter(&self, stage: WorkStage) {
        let before = self.stage.replace(stage);
        self.node.count_work(|counts| {
            *counts.of(before) -= 1;
            *counts.of(stage) += 1;
        });
    }

    /// Begins to send the answer to the request with this id.
    pub fn enter_sending(&self, id: String) {
        self.id.set(id);
        self.enter(WorkStage::Sending);
    }

    /// Until when the caller waits, if that is known.
    pub fn deadline(&self) -> Option<Time> {
        self.deadline.get()
    }

    /// Sets until when the caller waits.
    pub fn set_deadline(&self, at: Time) {
        self.deadline.set(Some(at));
    }

    /// Whether its body was read to its end.
    pub fn is_read(&self) -> bool {
        self.is_read.get()
    }

    /// Records that its body was read to its end.
    pub fn set_read(&self) {
        self.is_read.set(true);
    }

    /// Whether all of its answer is in this node's memory.
    pub fn is_answer_whole(&self) -> bool {
        self.is_answer_whole.get()
    }

    /// Records that all of its answer is in this node's memory.
    pub fn set_answer_whole(&self) {
        self.is_answer_whole.set(true);
    }

    /// Id of the request, if it is known; can be taken once.
    pub fn take_id(&self) -> String {
        self.id.take()
    }
}

impl Drop for OpenWork {
    fn drop(&mut self) {
        self.node.count_work(|counts| *counts.of(self.stage.get()) -= 1);
    }
}
