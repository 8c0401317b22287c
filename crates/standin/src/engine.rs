//! Simulated model engine: continuous batching with limited KV memory, a prefix cache, prefill
//! and decode rates, priorities, resume and cancel. A step of the batch takes `step` milliseconds,
//! prefills up to `prefill` prompt tokens and decodes one token of each sequence whose prompt is
//! done. A token is a word.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use model::attempt::{Attempt, Call, Frame};
use model::hash::{self, Digest};
use serde::Deserialize;
use tokio::sync::mpsc;

use crate::text;

/// Tokens per block of the prefix cache.
const BLOCK_TOKENS: usize = 16;
/// Finished streams kept for a resume.
const MAX_FINISHED_STREAMS: usize = 512;

/// Rates and capacities of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSpec {
    /// Duration of one batch step in milliseconds.
    pub step: f64,
    /// Prompt tokens prefilled per step.
    pub prefill: usize,
    /// Sequences that run concurrently.
    pub batch: usize,
    /// Capacity of the prefix cache in tokens.
    pub cache: usize,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec { step: 2.0, prefill: 256, batch: 16, cache: 20_000 }
    }
}

/// Message that submits a call; replies `false` if it cannot be resumed.
#[derive(Debug)]
pub struct Submit {
    /// Call to run or resume.
    pub call: Call,
    /// Tag to append to each word.
    pub tag: Option<String>,
    /// Factor on the duration of a step.
    pub slowdown: f64,
    /// Receives the frames of the answer.
    pub frames: mpsc::Sender<Frame>,
}

/// Message that cancels the call of an attempt.
#[derive(Debug)]
pub struct CancelCall(pub Attempt);

/// Message that asks for the engine's state.
#[derive(Debug)]
pub struct GetState;

/// Load and cache counters of an engine.
#[derive(Debug, Clone, Copy, Default, kameo::Reply)]
pub struct EngineState {
    /// Running sequences.
    pub running: u32,
    /// Queued sequences.
    pub queued: u32,
    /// Expected queue wait of a new call in milliseconds.
    pub wait_ms: u32,
    /// Prompt tokens submitted since the start.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
}

struct Step;

#[derive(Debug)]
struct Sequence {
    attempt: Attempt,
    words: VecDeque<String>,
    prefill_left: usize,
    next_seq: u64,
    digest: Digest,
    busy_us: f64,
    frames: mpsc::Sender<Frame>,
    generated: Vec<String>,
    first_seq: u64,
}

#[derive(Debug)]
struct FinishedStream {
    generated: Vec<String>,
    first_seq: u64,
}

/// Actor that runs the batch.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    queue: BTreeMap<(u8, u64, u64), Sequence>,
    running: Vec<Sequence>,
    cache: PrefixCache,
    finished: HashMap<Attempt, FinishedStream>,
    finished_order: VecDeque<Attempt>,
    submitted: u64,
    slowdown: f64,
    stepping: bool,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(spec: EngineSpec) -> Self {
        Engine {
            spec,
            queue: BTreeMap::new(),
            running: Vec::new(),
            cache: PrefixCache::new(spec.cache / BLOCK_TOKENS),
            finished: HashMap::new(),
            finished_order: VecDeque::new(),
            submitted: 0,
            slowdown: 1.0,
            stepping: false,
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    fn state(&self) -> EngineState {
        let prompts: usize =
            self.running.iter().chain(self.queue.values()).map(|s| s.prefill_left).sum();
        let prefill = prompts as f64 / self.spec.prefill as f64;
        // A queued sequence waits for a running one to end, which is half done on average.
        let left: usize = self.running.iter().map(|s| s.words.len()).sum();
        let mean = left as f64 / self.running.len().max(1) as f64;
        let turns = self.queue.len() as f64 / self.spec.batch as f64;
        let full = self.running.len() >= self.spec.batch;
        let decode = if full { mean * 0.5 + turns * mean } else { 0.0 };
        EngineState {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            wait_ms: ((prefill + decode) * self.spec.step * self.slowdown) as u32,
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
        }
    }

    fn submit(&mut self, s: Submit) -> bool {
        self.slowdown = s.slowdown;
        if let Some(old) = &s.call.resume {
            return self.resume(old.clone(), s);
        }
        let prompt: Vec<String> = text::words(&text::prompt(&s.call.input)).collect();
        let hit = self.cache.lookup_and_insert(&prompt);
        self.prompt_tokens += prompt.len() as u64;
        self.cached_tokens += hit as u64;
        let suffix = s.tag.map(|t| format!("~{t}")).unwrap_or_default();
        let all = text::generate(&s.call.input);
        let words = all.into_iter().skip(s.call.from as usize).map(|w| w + &suffix).collect();
        self.submitted += 1;
        let queue_key = (s.call.priority, s.call.budget, self.submitted);
        let seq = Sequence {
            attempt: s.call.attempt,
            words,
            prefill_left: prompt.len() - hit,
            next_seq: s.call.from,
            digest: Digest::default(),
            busy_us: 0.0,
            frames: s.frames,
            generated: Vec::new(),
            first_seq: s.call.from,
        };
        self.queue.insert(queue_key, seq);
        true
    }

    /// Continues the stream of an earlier attempt without running it again.
    fn resume(&mut self, old: Attempt, s: Submit) -> bool {
        let at = s.call.from;
        if let Some(seq) = self.running.iter_mut().find(|r| r.attempt == old) {
            if at < seq.first_seq {
                return false;
            }
            seq.attempt = s.call.attempt;
            seq.frames = s.frames;
            seq.digest = Digest::default();
            let replayed: Vec<String> =
                seq.generated.iter().skip((at - seq.first_seq) as usize).cloned().collect();
            for (i, w) in replayed.into_iter().enumerate() {
                seq.digest.push(&w);
                seq.send_chunk(at + i as u64, w);
            }
            return true;
        }
        let Some(stream) = self.finished.get(&old).filter(|k| at >= k.first_seq) else {
            return false;
        };
        let words: VecDeque<_> =
            stream.generated.iter().skip((at - stream.first_seq) as usize).cloned().collect();
        let mut seq = Sequence {
            attempt: s.call.attempt,
            words: VecDeque::new(),
            prefill_left: 0,
            next_seq: at,
            digest: Digest::default(),
            busy_us: 0.0,
            frames: s.frames,
            generated: Vec::new(),
            first_seq: at,
        };
        for w in words {
            seq.emit(w);
        }
        seq.send_end(0);
        true
    }

    fn step(&mut self) {
        while self.running.len() < self.spec.batch {
            let Some((_, seq)) = self.queue.pop_first() else {
                break;
            };
            self.running.push(seq);
        }
        let share = self.spec.step * self.slowdown * 1e3 / self.running.len().max(1) as f64;
        let mut prefill = self.spec.prefill;
        for seq in &mut self.running {
            seq.busy_us += share;
            if seq.prefill_left > 0 {
                let n = seq.prefill_left.min(prefill);
                seq.prefill_left -= n;
                prefill -= n;
            } else if let Some(word) = seq.words.pop_front() {
                seq.emit(word);
            }
        }
        let wait = self.state().wait_ms;
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|s: &Sequence| s.prefill_left == 0 && s.words.is_empty());
        self.running = running;
        for seq in done {
            seq.send_end(wait);
            self.store_finished(seq);
        }
    }

    fn store_finished(&mut self, seq: Sequence) {
        self.finished_order.push_back(seq.attempt.clone());
        self.finished.insert(
            seq.attempt,
            FinishedStream { generated: seq.generated, first_seq: seq.first_seq },
        );
        if self.finished_order.len() > MAX_FINISHED_STREAMS
            && let Some(old) = self.finished_order.pop_front()
        {
            self.finished.remove(&old);
        }
    }

    fn schedule_step(&mut self, me: &ActorRef<Self>) {
        if self.stepping || (self.running.is_empty() && self.queue.is_empty()) {
            return;
        }
        self.stepping = true;
        let me = me.clone();
        let wait = Duration::from_secs_f64(self.spec.step * self.slowdown / 1e3);
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = me.tell(Step).await;
        });
    }
}

impl Sequence {
    fn emit(&mut self, word: String) {
        self.digest.push(&word);
        self.generated.push(word.clone());
        let seq = self.next_seq;
        self.next_seq += 1;
        self.send_chunk(seq, word);
    }

    /// Drops the frame if the reader is slow or disconnected; the reader can resume.
    fn send_chunk(&self, seq: u64, text: String) {
        let _ = self.frames.try_send(Frame::Chunk { attempt: self.attempt.clone(), seq, text });
    }

    fn send_end(&self, wait: u32) {
        let _ = self.frames.try_send(Frame::End {
            attempt: self.attempt.clone(),
            count: self.next_seq,
            digest: self.digest.value(),
            busy: self.busy_us as u64,
            wait,
        });
    }
}

impl Actor for Engine {
    type Args = EngineSpec;
    type Error = std::convert::Infallible;

    async fn on_start(spec: EngineSpec, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Engine::new(spec))
    }
}

impl Message<Submit> for Engine {
    type Reply = bool;

    async fn handle(&mut self, s: Submit, ctx: &mut Context<Self, bool>) -> bool {
        let accepted = self.submit(s);
        self.schedule_step(ctx.actor_ref());
        accepted
    }
}

impl Message<CancelCall> for Engine {
    type Reply = ();

    async fn handle(&mut self, c: CancelCall, _: &mut Context<Self, ()>) {
        self.running.retain(|s| s.attempt != c.0);
        self.queue.retain(|_, s| s.attempt != c.0);
    }
}

impl Message<GetState> for Engine {
    type Reply = EngineState;

    async fn handle(&mut self, _: GetState, _: &mut Context<Self, EngineState>) -> EngineState {
        self.state()
    }
}

impl Message<Step> for Engine {
    type Reply = ();

    async fn handle(&mut self, _: Step, ctx: &mut Context<Self, ()>) {
        self.stepping = false;
        self.step();
        self.schedule_step(ctx.actor_ref());
    }
}

/// LRU cache of prompt blocks, keyed by the hash of the prompt up to the end of the block.
#[derive(Debug)]
struct PrefixCache {
    blocks: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    capacity: usize,
}

impl PrefixCache {
    fn new(capacity: usize) -> Self {
        PrefixCache { blocks: HashMap::new(), order: BTreeMap::new(), clock: 0, capacity }
    }

    /// Returns the number of cached tokens at the start of the prompt, then caches all its blocks.
    fn lookup_and_insert(&mut self, prompt: &[String]) -> usize {
        let (mut chain, mut hit, mut unbroken) = (0, 0, true);
        for block in prompt.chunks_exact(BLOCK_TOKENS) {
            chain = block.iter().fold(chain, |c, w| hash::mix(c, hash::hash64(w.as_bytes())));
            self.clock += 1;
            match self.blocks.insert(chain, self.clock) {
                Some(old) => {
                    self.order.remove(&old);
                    hit += if unbroken { BLOCK_TOKENS } else { 0 };
                }
                None => unbroken = false,
            }
            self.order.insert(self.clock, chain);
        }
        while self.blocks.len() > self.capacity {
            let Some((_, chain)) = self.order.pop_first() else {
                break;
            };
            self.blocks.remove(&chain);
        }
        hit
    }
}
