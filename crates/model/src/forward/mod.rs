//! Types of the forwarding node: the rules in force, the known targets and the messages between
//! forwarding nodes.
//!
//! A request is forwarded unaltered: its optional batched stages run first, then one target
//! answers and the bytes of its answer are relayed to the caller.

mod batch;
mod caller;
mod ejection;
mod fingerprint;
mod limit;
mod links;
mod load;
mod notice;
mod policy;
mod prefill;
mod quarantine;
mod rank;
mod region;
mod rollout;
mod rules;
mod slot;
mod stream;
mod target;

pub use batch::{
    BatchAnswer, BatchOrder, Handle, LARGE_RESULT_BYTES, PieceOrder, PieceResult, PoolId, QueueId,
    StageInput, Waits,
};
pub use caller::{CallerHead, PromptPart};
pub use ejection::{
    EjectionAnswer, EjectionMessage, EjectionStep, Evidence, FailureKind, FailureReport,
};
pub use fingerprint::{Fingerprint, FingerprintError};
pub use limit::{
    LimitReport, LimitUpdate, PermitAnswer, PermitRequest, ReportedLimit, TargetLimit,
};
pub use links::{LinkQuery, LinkStatus};
pub use load::{ReportedLoad, TargetLoad};
pub use notice::{Notice, RetryAfter};
pub use policy::Policy;
pub use prefill::{PrefillAnswer, PrefillAsk, PrefillEnd};
pub use quarantine::{CrashReport, HeldRecord, QuarantineReport, SuspectReport, WorkerCrash};
pub use rank::Rank;
pub use region::Allowed;
pub use rollout::{
    Answers, Phase, Rollout, RolloutAnswer, RolloutId, RolloutReport, RolloutState, Rollouts,
    RouteEvidence, Side, Withdrawn,
};
pub use rules::{
    ColdTargets, Engine, Limits, Repeat, Route, Rules, Service, Share, Stage, StagePool, Workspace,
};
pub use slot::{BrittleNotice, SlotAnswer, SlotRelease, SlotRequest};
pub use stream::{StreamAnswer, StreamKey, StreamOrigin, StreamQuery, StreamRecords};
pub use target::{
    Evacuations, FollowAnswer, FollowAsk, Target, TargetChange, TargetId, TargetList, TargetNews,
};
