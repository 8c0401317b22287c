//! Loads declarations from YAML files with one or more documents, each with `kind`, `name` and
//! `spec`. Errors name the file, line and column.

use std::path::{Path, PathBuf};

use anyhow::Context;
use model::Name;
use model::object::{self, Drain, KINDS, Model, ObjectSet, Pipeline, Pool, Spec, Workspace};
use serde::{Deserialize, de::DeserializeOwned};
use util::settings::syntax_error;

/// One declared object and its location.
#[derive(Debug, Clone, PartialEq)]
pub struct Declaration {
    /// File that declares it.
    pub path: PathBuf,
    /// First line of the document, counted from 1.
    pub line: u64,
    /// Object name, unique within its kind.
    pub name: Name,
    /// Declared spec; its variant is the kind.
    pub spec: Spec,
}

impl Declaration {
    /// Key of the object, `Kind/name`.
    pub fn key(&self) -> String {
        format!("{}/{}", self.spec.kind(), self.name)
    }
}

#[derive(Deserialize)]
struct DocumentHeader {
    kind: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document<S> {
    #[allow(dead_code)]
    kind: String,
    name: Name,
    spec: S,
}

/// Loads a file, or every YAML file below a directory, and checks all objects as one set.
pub fn load(path: &Path) -> anyhow::Result<Vec<Declaration>> {
    let mut files = Vec::new();
    find_files(path, &mut files).with_context(|| format!("could not read {}", path.display()))?;
    anyhow::ensure!(!files.is_empty(), "{}: no .yaml file found", path.display());
    files.sort();
    let mut all = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(&file)
            .with_context(|| format!("could not read {}", file.display()))?;
        all.extend(parse(&file, &text)?);
    }
    check(&all)?;
    Ok(all)
}

fn find_files(path: &Path, files: &mut Vec<PathBuf>) -> std::io::Result<()> {
    if !path.is_dir() {
        files.push(path.into());
        return Ok(());
    }
    for entry in std::fs::read_dir(path)? {
        let path = entry?.path();
        if path.is_dir() {
            find_files(&path, files)?;
        } else if path.extension().is_some_and(|e| e == "yaml" || e == "yml") {
            files.push(path);
        }
    }
    Ok(())
}

/// Parses the documents of one file without checking references between objects.
pub fn parse(path: &Path, text: &str) -> anyhow::Result<Vec<Declaration>> {
    let mut out = Vec::new();
    for (lines_before, part) in split_documents(text) {
        let empty = part.lines().all(|l| l.trim().is_empty() || l.trim_start().starts_with('#'));
        if empty {
            continue;
        }
        let head: DocumentHeader =
            serde_saphyr::from_str(&part).map_err(|e| syntax_error(path, lines_before, &e))?;
        let (name, spec) = match head.kind.as_str() {
            "Pipeline" => {
                parse_document(path, lines_before, &part, Spec::Pipeline as fn(Pipeline) -> Spec)?
            }
            "Workspace" => {
                parse_document(path, lines_before, &part, Spec::Workspace as fn(Workspace) -> Spec)?
            }
            "Pool" => parse_document(path, lines_before, &part, Spec::Pool as fn(Pool) -> Spec)?,
            "Model" => parse_document(path, lines_before, &part, Spec::Model as fn(Model) -> Spec)?,
            "Drain" => parse_document(path, lines_before, &part, Spec::Drain as fn(Drain) -> Spec)?,
            other => anyhow::bail!(
                "{}:{}: kind {other:?} is not one of {}",
                path.display(),
                lines_before + 1,
                KINDS.join(", ")
            ),
        };
        out.push(Declaration { path: path.into(), line: lines_before + 1, name, spec });
    }
    Ok(out)
}

fn parse_document<S: DeserializeOwned>(
    path: &Path,
    lines_before: u64,
    part: &str,
    to_spec: fn(S) -> Spec,
) -> anyhow::Result<(Name, Spec)> {
    let document: Document<S> =
        serde_saphyr::from_str(part).map_err(|e| syntax_error(path, lines_before, &e))?;
    Ok((document.name, to_spec(document.spec)))
}

/// Splits a text into documents, each with the number of lines before it.
fn split_documents(text: &str) -> Vec<(u64, String)> {
    let mut out = vec![(0, String::new())];
    for (i, line) in text.lines().enumerate() {
        if line.trim_end() == "---" {
            out.push((i as u64 + 1, String::new()));
        } else if let Some((_, part)) = out.last_mut() {
            part.push_str(line);
            part.push('\n');
        }
    }
    out
}

/// Checks declarations as one set: duplicates, values and references between objects.
pub fn check(all: &[Declaration]) -> anyhow::Result<()> {
    let mut set = ObjectSet::default();
    let mut seen = std::collections::BTreeMap::new();
    for d in all {
        if let Some(first) = seen.insert(d.key(), d) {
            anyhow::bail!(
                "{}:{}: {} is already declared at {}:{}",
                d.path.display(),
                d.line,
                d.key(),
                first.path.display(),
                first.line
            );
        }
        set.insert(d.name.clone(), d.spec.clone());
    }
    let faults = object::check(&set);
    if faults.is_empty() {
        return Ok(());
    }
    let with_location = |f: &object::Fault| {
        let at = seen.get(&*f.object).map(|d| format!("{}:{}: ", d.path.display(), d.line));
        format!("{}{f}", at.unwrap_or_default())
    };
    let lines: Vec<String> = faults.iter().map(with_location).collect();
    anyhow::bail!("{}", lines.join("\n"))
}
