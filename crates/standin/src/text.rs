//! Deterministic text processing of the stand-ins, for any script and with the same result on
//! every target. Encoding splits sentences and hashes their words into vectors, retrieval and
//! reranking score sentences, generation outputs the best ones.

use std::collections::BTreeSet;

use model::hash;
use serde_json::{Value, json};

/// Dimensions of a sentence vector.
const VECTOR_DIMS: usize = 16;
/// Passages that retrieval returns.
const MAX_PASSAGES: usize = 12;
/// Sentences in a generated answer.
const MAX_SENTENCES: usize = 5;

/// Words of a text in any script, in lower case.
pub fn words(text: &str) -> impl Iterator<Item = String> + '_ {
    let split = |c: char| c.is_whitespace() || c.is_ascii_punctuation() || c == '।';
    text.split(split).filter(|w| !w.is_empty()).map(str::to_lowercase)
}

/// Sentences of a text; a full stop, danda, `!`, `?` or line break ends one.
pub fn sentences(text: &str) -> Vec<&str> {
    let parts = text.split(['.', '।', '!', '?', '\n']);
    parts.map(str::trim).filter(|s| !s.is_empty()).collect()
}

fn vector(text: &str) -> [i32; VECTOR_DIMS] {
    let mut v = [0; VECTOR_DIMS];
    for w in words(text) {
        let h = hash::hash64(w.as_bytes());
        v[(h as usize) % VECTOR_DIMS] += if h >> 63 == 0 { 1 } else { -1 };
    }
    v
}

fn dot(a: &[i32; VECTOR_DIMS], b: &[i32; VECTOR_DIMS]) -> i32 {
    a.iter().zip(b).map(|(x, y)| x * y).sum()
}

fn request_text(input: &Value) -> &str {
    input["request"]["text"].as_str().unwrap_or_default()
}

fn instruction(input: &Value) -> &str {
    input["request"]["instruction"].as_str().unwrap_or_default()
}

fn list(input: &Value, field: &str) -> Vec<String> {
    let results = input["results"].as_object().cloned().unwrap_or_default();
    let found = results.values().rev().filter_map(Value::as_str).find_map(|t| {
        let v: Value = serde_json::from_str(t).ok()?;
        v[field].as_array().cloned()
    });
    found.unwrap_or_default().iter().filter_map(|s| s.as_str().map(String::from)).collect()
}

/// Splits the request text into sentences and computes their vectors.
pub fn encode(input: &Value) -> String {
    let sentences = sentences(request_text(input));
    let vectors: Vec<_> = sentences.iter().map(|s| vector(s)).collect();
    json!({ "sentences": sentences, "vectors": vectors }).to_string()
}

/// Ranks sentences by similarity to the instruction, then by length, and returns the first ones.
pub fn retrieve(input: &Value) -> String {
    let query = vector(instruction(input));
    let mut scored: Vec<_> = list(input, "sentences")
        .into_iter()
        .map(|s| (dot(&vector(&s), &query), s.len(), s))
        .collect();
    scored.sort_by(|a, b| b.cmp(a));
    let passages: Vec<_> = scored.into_iter().take(MAX_PASSAGES).map(|(_, _, s)| s).collect();
    json!({ "passages": passages }).to_string()
}

/// Ranks passages by the number of words shared with the instruction, then by length.
pub fn rerank(input: &Value) -> String {
    let query_words: BTreeSet<_> = words(instruction(input)).collect();
    let mut scored: Vec<_> = list(input, "passages")
        .into_iter()
        .map(|p| (words(&p).filter(|w| query_words.contains(w)).count(), p.chars().count(), p))
        .collect();
    scored.sort_by(|a, b| b.cmp(a));
    let ranked: Vec<_> = scored.into_iter().map(|(_, _, p)| p).collect();
    json!({ "ranked": ranked }).to_string()
}

/// Words of a generated answer, each with its leading whitespace.
pub fn generate(input: &Value) -> Vec<String> {
    let mut chosen = list(input, "ranked");
    if chosen.is_empty() {
        chosen = sentences(request_text(input)).into_iter().map(String::from).collect();
    }
    let full_text = request_text(input);
    chosen.truncate(MAX_SENTENCES);
    chosen.sort_by_key(|s| full_text.find(s.as_str()).unwrap_or(usize::MAX));
    let length = input["request"]["tokens"].as_u64().map_or(usize::MAX, |n| n as usize);
    let mut text: Vec<String> = Vec::new();
    for s in chosen {
        let lead = if text.is_empty() { "- " } else { "\n- " };
        for (i, w) in s.split_whitespace().enumerate() {
            text.push(if i == 0 { format!("{lead}{w}") } else { format!(" {w}") });
        }
    }
    // A request may ask for an exact length, as load generators do.
    if length != usize::MAX {
        let n = text.len().max(1);
        let filler = |i: usize| text.get(i % n).cloned().unwrap_or_else(|| " -".into());
        return (0..length).map(filler).collect();
    }
    text
}

/// Answer of a plain service: a digest of its input, which reveals swapped answers.
pub fn plain(step: &str, input: &Value) -> String {
    let digest = hash::hash64(input.to_string().as_bytes());
    json!({ "step": step, "receipt": format!("{digest:016x}") }).to_string()
}

/// Prompt whose prefix engines cache: the request's `prompt`, else its instruction and text.
pub fn prompt(input: &Value) -> String {
    let prompt = input["request"]["prompt"].as_str();
    prompt.map_or_else(|| format!("{}\n{}", instruction(input), request_text(input)), String::from)
}
