//! A model engine: continuous batching with limited KV memory, a prefix cache,
//! prefill and decode rates, priorities, resume and cancel.
//!
//! One step of the batch takes `step` milliseconds: it prefills up to a number
//! of prompt tokens and decodes one token of every other running sequence. A
//! token is a word.

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

/// Tokens in one block of the prefix cache.
const BLOCK: usize = 16;
/// Streams kept for a resume.
const KEPT: usize = 512;

/// Rates and sizes of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSpec {
    /// Milliseconds of one step of the batch.
    pub step: f64,
    /// Prompt tokens prefilled in one step.
    pub prefill: usize,
    /// Sequences that run at once.
    pub batch: usize,
    /// Tokens that the prefix cache holds.
    pub cache: usize,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec { step: 2.0, prefill: 256, batch: 16, cache: 20_000 }
    }
}

/// A call for the engine.
#[derive(Debug)]
pub struct Submit {
    /// The call.
    pub call: Call,
    /// Mark on each word.
    pub tag: Option<String>,
    /// Factor on the step's time.
    pub slow: f64,
    /// Where the frames go.
    pub frames: mpsc::Sender<Frame>,
}

/// Stops a call.
#[derive(Debug)]
pub struct CancelCall(pub Attempt);

/// Asks for the state.
#[derive(Debug)]
pub struct State;

/// State of an engine.
#[derive(Debug, Clone, Copy, Default, kameo::Reply)]
pub struct EngineState {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting.
    pub queued: u32,
    /// Expected wait of a new call, milliseconds.
    pub wait: u32,
    /// Prompt tokens asked for since the start.
    pub prompt: u64,
    /// Of those, found in the cache.
    pub cached: u64,
}

struct Step;

#[derive(Debug)]
struct Seq {
    attempt: Attempt,
    words: VecDeque<String>,
    prompt: usize,
    next: u64,
    digest: Digest,
    busy: f64,
    frames: mpsc::Sender<Frame>,
    said: Vec<String>,
    from: u64,
}

#[derive(Debug)]
struct Kept {
    said: Vec<String>,
    from: u64,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    queue: BTreeMap<(u8, u64, u64), Seq>,
    running: Vec<Seq>,
    cache: PrefixCache,
    kept: HashMap<Attempt, Kept>,
    order: VecDeque<Attempt>,
    seq: u64,
    slow: f64,
    stepping: bool,
    prompt: u64,
    cached: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(spec: EngineSpec) -> Self {
        Engine {
            spec,
            queue: BTreeMap::new(),
            running: Vec::new(),
            cache: PrefixCache::new(spec.cache / BLOCK),
            kept: HashMap::new(),
            order: VecDeque::new(),
            seq: 0,
            slow: 1.0,
            stepping: false,
            prompt: 0,
            cached: 0,
        }
    }

    fn state(&self) -> EngineState {
        let prompts: usize = self.running.iter().chain(self.queue.values()).map(|s| s.prompt).sum();
        let prefill = prompts as f64 / self.spec.prefill as f64;
        // A queued sequence waits for a running one to end, half way on average.
        let left: usize = self.running.iter().map(|s| s.words.len()).sum();
        let mean = left as f64 / self.running.len().max(1) as f64;
        let turns = self.queue.len() as f64 / self.spec.batch as f64;
        let full = self.running.len() >= self.spec.batch;
        let decode = if full { mean * 0.5 + turns * mean } else { 0.0 };
        EngineState {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            wait: ((prefill + decode) * self.spec.step * self.slow) as u32,
            prompt: self.prompt,
            cached: self.cached,
        }
    }

    fn submit(&mut self, s: Submit) -> bool {
        self.slow = s.slow;
        if let Some(old) = &s.call.resume {
            return self.resume(old.clone(), s);
        }
        let prompt: Vec<String> = text::words(&text::prompt(&s.call.input)).collect();
        let hit = self.cache.touch(&prompt);
        self.prompt += prompt.len() as u64;
        self.cached += hit as u64;
        let mark = s.tag.map(|t| format!("~{t}")).unwrap_or_default();
        let all = text::generate(&s.call.input);
        let words = all.into_iter().skip(s.call.from as usize).map(|w| w + &mark).collect();
        self.seq += 1;
        let place = (s.call.priority, s.call.budget, self.seq);
        let seq = Seq {
            attempt: s.call.attempt,
            words,
            prompt: prompt.len() - hit,
            next: s.call.from,
            digest: Digest::default(),
            busy: 0.0,
            frames: s.frames,
            said: Vec::new(),
            from: s.call.from,
        };
        self.queue.insert(place, seq);
        true
    }

    /// Goes on with an earlier attempt's stream; runs nothing again.
    fn resume(&mut self, old: Attempt, s: Submit) -> bool {
        let at = s.call.from;
        if let Some(seq) = self.running.iter_mut().find(|r| r.attempt == old) {
            if at < seq.from {
                return false;
            }
            seq.attempt = s.call.attempt;
            seq.frames = s.frames;
            seq.digest = Digest::default();
            let again: Vec<String> =
                seq.said.iter().skip((at - seq.from) as usize).cloned().collect();
            for (i, w) in again.into_iter().enumerate() {
                seq.digest.push(&w);
                seq.give(at + i as u64, w);
            }
            return true;
        }
        let Some(kept) = self.kept.get(&old).filter(|k| at >= k.from) else {
            return false;
        };
        let words: VecDeque<_> =
            kept.said.iter().skip((at - kept.from) as usize).cloned().collect();
        let mut seq = Seq {
            attempt: s.call.attempt,
            words: VecDeque::new(),
            prompt: 0,
            next: at,
            digest: Digest::default(),
            busy: 0.0,
            frames: s.frames,
            said: Vec::new(),
            from: at,
        };
        for w in words {
            seq.say(w);
        }
        seq.end(0);
        true
    }

    fn step(&mut self) {
        while self.running.len() < self.spec.batch {
            let Some((_, seq)) = self.queue.pop_first() else {
                break;
            };
            self.running.push(seq);
        }
        let share = self.spec.step * self.slow * 1e3 / self.running.len().max(1) as f64;
        let mut prefill = self.spec.prefill;
        for seq in &mut self.running {
            seq.busy += share;
            if seq.prompt > 0 {
                let n = seq.prompt.min(prefill);
                seq.prompt -= n;
                prefill -= n;
            } else if let Some(word) = seq.words.pop_front() {
                seq.say(word);
            }
        }
        let wait = self.state().wait;
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|s: &Seq| s.prompt == 0 && s.words.is_empty());
        self.running = running;
        for seq in done {
            seq.end(wait);
            self.keep(seq);
        }
    }

    fn keep(&mut self, seq: Seq) {
        self.order.push_back(seq.attempt.clone());
        self.kept.insert(seq.attempt, Kept { said: seq.said, from: seq.from });
        if self.order.len() > KEPT
            && let Some(old) = self.order.pop_front()
        {
            self.kept.remove(&old);
        }
    }

    fn wake(&mut self, me: &ActorRef<Self>) {
        if self.stepping || (self.running.is_empty() && self.queue.is_empty()) {
            return;
        }
        self.stepping = true;
        let me = me.clone();
        let wait = Duration::from_secs_f64(self.spec.step * self.slow / 1e3);
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = me.tell(Step).await;
        });
    }
}

impl Seq {
    fn say(&mut self, word: String) {
        self.digest.push(&word);
        self.said.push(word.clone());
        let seq = self.next;
        self.next += 1;
        self.give(seq, word);
    }

    /// A reader that is slow or gone loses frames; it resumes.
    fn give(&self, seq: u64, text: String) {
        let _ = self.frames.try_send(Frame::Chunk { attempt: self.attempt.clone(), seq, text });
    }

    fn end(&self, wait: u32) {
        let _ = self.frames.try_send(Frame::End {
            attempt: self.attempt.clone(),
            count: self.next,
            digest: self.digest.value(),
            busy: self.busy as u64,
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
        let taken = self.submit(s);
        self.wake(ctx.actor_ref());
        taken
    }
}

impl Message<CancelCall> for Engine {
    type Reply = ();

    async fn handle(&mut self, c: CancelCall, _: &mut Context<Self, ()>) {
        self.running.retain(|s| s.attempt != c.0);
        self.queue.retain(|_, s| s.attempt != c.0);
    }
}

impl Message<State> for Engine {
    type Reply = EngineState;

    async fn handle(&mut self, _: State, _: &mut Context<Self, EngineState>) -> EngineState {
        self.state()
    }
}

impl Message<Step> for Engine {
    type Reply = ();

    async fn handle(&mut self, _: Step, ctx: &mut Context<Self, ()>) {
        self.stepping = false;
        self.step();
        self.wake(ctx.actor_ref());
    }
}

/// Blocks of prompts by the hash of everything up to them; least recently used go first.
#[derive(Debug)]
struct PrefixCache {
    blocks: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    most: usize,
}

impl PrefixCache {
    fn new(most: usize) -> Self {
        PrefixCache { blocks: HashMap::new(), order: BTreeMap::new(), clock: 0, most }
    }

    /// Tokens of the prompt's head that were cached; caches the whole prompt.
    fn touch(&mut self, prompt: &[String]) -> usize {
        let (mut chain, mut hit, mut unbroken) = (0, 0, true);
        for block in prompt.chunks_exact(BLOCK) {
            chain = block.iter().fold(chain, |c, w| hash::mix(c, hash::hash64(w.as_bytes())));
            self.clock += 1;
            match self.blocks.insert(chain, self.clock) {
                Some(old) => {
                    self.order.remove(&old);
                    hit += if unbroken { BLOCK } else { 0 };
                }
                None => unbroken = false,
            }
            self.order.insert(self.clock, chain);
        }
        while self.blocks.len() > self.most {
            let Some((_, chain)) = self.order.pop_first() else {
                break;
            };
            self.blocks.remove(&chain);
        }
        hit
    }
}
