//! Errors in declarations name their location and the remedy; the example declarations are valid.

use std::path::Path;

use cli::declare::{check, load, parse};

fn load_error(text: &str) -> String {
    let result = parse(Path::new("x.yaml"), text).and_then(|all| check(&all));
    format!("{:#}", result.expect_err("refused"))
}

#[test]
fn errors_name_file_line_and_column_or_object_and_field() {
    let cases = [
        ("unknown key", "kind: Workspace\nname: w\nspec:\n  deadlin: 5\n", "x.yaml:4:3: "),
        ("wrong type", "kind: Workspace\nname: w\nspec:\n  deadline: soon\n", "x.yaml:4:13: "),
        ("missing", "kind: Workspace\nname: w\nspec: {}\n", "deadline"),
        ("unknown kind", "kind: Workspaces\nname: w\nspec: {}\n", "x.yaml:1: kind \"Workspaces\""),
        (
            "second document",
            "kind: Drain\nname: a\nspec: {host: a}\n---\nkind: Drain\nname: b\nspec: {hosts: b}\n",
            "x.yaml:7:",
        ),
        (
            "zero deadline",
            "kind: Workspace\nname: w\nspec: {deadline: 0}\n",
            "x.yaml:1: Workspace/w: spec.deadline: must be 1 to",
        ),
        (
            "bad name",
            "kind: Drain\nname: A b\nspec: {host: h}\n",
            "Drain/A b: name: \"A b\": a name uses",
        ),
        (
            "no such pool",
            "kind: Pipeline\nname: p\nspec: {stages: [{name: s, pool: q}]}\n",
            "Pipeline/p: spec.stages[0].pool: no Pool is named \"q\"",
        ),
        (
            "no stages",
            "kind: Pipeline\nname: p\nspec: {stages: []}\n",
            "spec.stages: must have 1 to 16 stages",
        ),
        (
            "address",
            "kind: Pool\nname: p\nspec:\n  role: plain\n  cost: 1\n  targets: [{name: t, address: host:1, domain: d, host: h}]\n",
            "spec.targets[0].address: \"host:1\" is not an IP address and port",
        ),
        (
            "cost",
            "kind: Pool\nname: p\nspec: {role: plain, cost: -1, targets: []}\n",
            "spec.cost: must be 0 or more",
        ),
        (
            "twice",
            "kind: Drain\nname: a\nspec: {host: a}\n---\nkind: Drain\nname: a\nspec: {host: a}\n",
            "x.yaml:5: Drain/a is already declared at x.yaml:1",
        ),
    ];
    for (name, text, expected) in cases {
        let got = load_error(text);
        assert!(got.contains(expected), "{name}: {got}");
    }
}

#[test]
fn engine_stage_requires_a_model_of_its_pool() {
    let pool = "kind: Pool\nname: e\nspec: {role: engine, cost: 1, targets: [{name: t, address: \"1.2.3.4:5\", domain: d, host: h}]}\n---\n";
    let stage = |s: &str| format!("{pool}kind: Pipeline\nname: p\nspec: {{stages: [{s}]}}\n");
    assert!(load_error(&stage("{name: s, pool: e}")).contains("a stage on engines needs a model"));
    assert!(load_error(&stage("{name: s, pool: e, model: m}")).contains("no Model is named"));
    let model =
        format!("{pool}kind: Model\nname: m\nspec: {{pool: e, version: v1, replicas: 2}}\n");
    assert!(load_error(&model).contains("at most 1, the pool's count of targets"));
}

#[test]
fn example_declarations_are_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for (folder, objects) in [("parabaas", 18), ("imigongo", 18), ("processes/declarations", 9)] {
        let all = load(&examples.join(folder)).expect("valid");
        assert_eq!(all.len(), objects, "{folder}");
    }
}
