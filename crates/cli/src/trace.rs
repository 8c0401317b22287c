//! Reads the logs of several nodes and merges the lines of one request.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader, IsTerminal};
use std::path::Path;

use anyhow::Context;
use serde_json::{Map, Value};

/// Bytes read between two progress messages.
const PROGRESS_INTERVAL_BYTES: u64 = 64 << 20;
/// Fields common to all lines, left out of a line's details.
const COMMON_FIELDS: [&str; 4] = ["at_ms", "node", "event", "id"];

/// Start or end of an evacuation of a failure domain, whose targets receive no new work.
const EVACUATION: &str = "evacuation";
/// Prefix of the events of a service's rollout.
const ROLLOUT_PREFIX: &str = "rollout";

/// One log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Wall-clock time as written; lines are ordered by it across nodes.
    pub time: String,
    /// Node that wrote the line.
    pub node: String,
    /// Milliseconds since that node's start.
    pub at_ms: u64,
    /// Event name.
    pub event: String,
    /// All fields, common ones included.
    pub fields: Map<String, Value>,
}

/// Lines of one request, and events about its targets while it was open.
#[derive(Debug, Default)]
pub struct Trace {
    /// Lines in time order.
    pub lines: Vec<Line>,
    /// Number of lines that look like events but cannot be parsed.
    pub malformed: u64,
}

impl Line {
    /// Parses a line; `None` if it is not an event, an error if its JSON is malformed.
    pub fn parse(text: &str) -> Option<Result<Line, serde_json::Error>> {
        let start = text.find('{')?;
        let fields = match serde_json::from_str::<Map<String, Value>>(&text[start..]) {
            Ok(fields) => fields,
            Err(e) => return Some(Err(e)),
        };
        let string = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_string);
        let (node, event) = (string("node")?, string("event")?);
        let at_ms = fields.get("at_ms").and_then(Value::as_u64)?;
        let time = text[..start].split_whitespace().find(|w| w.contains('T'));
        let time = time.unwrap_or_default().to_string();
        Some(Ok(Line { time, node, at_ms, event, fields }))
    }

    fn text_field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    fn number_field(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or_default()
    }

    /// Fields specific to the event, as `name=value`.
    pub fn details(&self) -> String {
        let details =
            self.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let text = details.map(|(name, value)| match value {
            Value::String(s) if s.is_empty() => format!("{name}=-"),
            Value::String(s) => format!("{name}={s}"),
            other => format!("{name}={other}"),
        });
        text.collect::<Vec<_>>().join(" ")
    }
}

impl Trace {
    /// Collects the lines of request `id` from `files`, with the events about the targets it was
    /// sent to, evacuations and rollouts while it was open.
    pub fn read(id: &str, files: &[impl AsRef<Path>]) -> anyhow::Result<Trace> {
        let mut trace = Trace::default();
        let mut related = Vec::new();
        for file in files {
            trace.read_file(id, file.as_ref(), &mut related)?;
        }
        let targets: BTreeSet<String> =
            trace.lines.iter().map(|l| l.text_field("target").to_string()).collect();
        let (first, last) = trace.time_range();
        let is_related = |l: &Line| {
            let target = l.text_field("target");
            let is_known = !target.is_empty() && targets.contains(target);
            let is_open = l.time >= first && l.time <= last;
            is_open && (is_known || l.event == EVACUATION || l.event.starts_with(ROLLOUT_PREFIX))
        };
        trace.lines.extend(related.into_iter().filter(is_related));
        trace.lines.sort_by(|a, b| (&a.time, a.at_ms).cmp(&(&b.time, b.at_ms)));
        Ok(trace)
    }

    fn time_range(&self) -> (String, String) {
        let times = || self.lines.iter().map(|l| l.time.clone());
        (times().min().unwrap_or_default(), times().max().unwrap_or_default())
    }

    fn read_file(&mut self, id: &str, file: &Path, related: &mut Vec<Line>) -> anyhow::Result<()> {
        let opened =
            File::open(file).with_context(|| format!("could not open {}", file.display()))?;
        let size = opened.metadata().map(|m| m.len()).unwrap_or_default();
        let mut progress = Progress::new(file, size);
        let mut reader = BufReader::new(opened);
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            let n = reader
                .read_until(b'\n', &mut bytes)
                .with_context(|| format!("could not read {}", file.display()))?;
            if n == 0 {
                return Ok(());
            }
            progress.add(n as u64);
            let text = String::from_utf8_lossy(&bytes);
            match Line::parse(text.trim_end()) {
                None => {}
                Some(Err(_)) => self.malformed += 1,
                Some(Ok(line)) if line.text_field("id") == id => self.lines.push(line),
                Some(Ok(line))
                    if matches!(line.event.as_str(), "ejected" | "target" | EVACUATION)
                        || line.event.starts_with(ROLLOUT_PREFIX) =>
                {
                    related.push(line);
                }
                Some(Ok(_)) => {}
            }
        }
    }

    /// Region of the last chosen target, with the allowed regions if the rules restrict them;
    /// empty if the region is unknown.
    fn region_summary(&self) -> String {
        let Some(chosen) = self.lines.iter().rev().find(|l| l.event == "chosen") else {
            return String::new();
        };
        let names = chosen.fields.get("allowed").and_then(Value::as_array);
        let allowed: Vec<&str> = names.into_iter().flatten().filter_map(Value::as_str).collect();
        match (chosen.text_field("region"), allowed.as_slice()) {
            ("", _) => String::new(),
            (region, []) => format!("; sent to region {region}, any was allowed"),
            (region, allowed) => {
                format!("; sent to region {region}, allowed in {}", allowed.join(", "))
            }
        }
    }

    /// One sentence on how the request ended, from its final line.
    pub fn cause(&self) -> String {
        let Some(end) = self.lines.iter().rev().find(|l| l.event == "request") else {
            return "no final answer in these files: the node ended, or its log is missing".into();
        };
        let (took, stages) = (end.number_field("took_ms"), end.number_field("stages_ms"));
        let first = end.number_field("first_ms");
        let why = end.text_field("why");
        let slowest = self
            .lines
            .iter()
            .filter(|l| l.event == "stage")
            .max_by_key(|l| l.number_field("took_ms"));
        let stage = slowest.map_or(String::new(), |l| {
            format!(
                "; its slowest stage was {} at {} with {} ms",
                l.number_field("stage"),
                l.text_field("service"),
                l.number_field("took_ms")
            )
        });
        let (place, version) = (self.region_summary(), self.version_summary());
        let times = format!(
            "{took} ms in all, {stages} ms in stages, first event after {first} ms{stage}{place}{version}"
        );
        match end.text_field("outcome") {
            "answered" | "streamed" => {
                format!("answered with {}: {times}", end.number_field("status"))
            }
            "refused" => {
                format!("refused with {} before it ran: {why}", end.number_field("status"))
            }
            "not_run" => format!("given up before it ran: {why}; {times}"),
            "caller_left" => format!("its caller left: {times}"),
            "broken_off" => format!("broken off after part of its answer: {why}; {times}"),
            "failed" => {
                format!("its target answered with {}: {why}; {times}", end.number_field("status"))
            }
            _ => format!("may have run, and brought no answer: {why}; {times}"),
        }
    }

    /// Version that the request was last sent to and the reason; empty if the target reports none.
    fn version_summary(&self) -> String {
        let chosen = self.lines.iter().rev().find(|l| l.event == "chosen");
        let Some(chosen) = chosen.filter(|l| !l.text_field("version").is_empty()) else {
            return String::new();
        };
        let percent =
            chosen.fields.get("share").and_then(Value::as_f64).unwrap_or_default() * 100.0;
        let why = match chosen.text_field("side") {
            "trial" => format!(", on trial with {percent:.1} % of the requests"),
            "serving" => format!(", while another one is on trial with {percent:.1} % of them"),
            "left_trial" => {
                ", since the one on trial failed it, had no target or was taken back".to_string()
            }
            _ => String::new(),
        };
        format!("; at version {}{why}", chosen.text_field("version"))
    }
}

/// Prints the progress through a large file if stderr is a terminal.
struct Progress<'a> {
    file: &'a Path,
    size: u64,
    read: u64,
    reported: u64,
    enabled: bool,
}

impl<'a> Progress<'a> {
    fn new(file: &'a Path, size: u64) -> Self {
        Progress { file, size, read: 0, reported: 0, enabled: std::io::stderr().is_terminal() }
    }

    fn add(&mut self, bytes: u64) {
        self.read += bytes;
        if self.enabled && self.read - self.reported >= PROGRESS_INTERVAL_BYTES {
            self.reported = self.read;
            let percent = self.read * 100 / self.size.max(1);
            eprintln!("{}: {percent} %", self.file.display());
        }
    }
}
