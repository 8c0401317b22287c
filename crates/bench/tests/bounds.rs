//! Checks the counted figures, which are the same on every machine, against the committed bounds.

use bench::cmd::{Bound, find_violations};
use bench::slopes::{Figure, measure};

/// Counted figures, measured once for all tests.
fn figures() -> &'static [Figure] {
    static FIGURES: std::sync::OnceLock<Vec<Figure>> = std::sync::OnceLock::new();
    FIGURES.get_or_init(|| measure(true))
}

#[test]
fn counted_figures_are_within_committed_bounds() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../bounds.yaml");
    let text = std::fs::read_to_string(file).expect("bounds.yaml");
    let bounds: Vec<Bound> = util::settings::parse(file.as_ref(), &text).expect("valid");
    assert!(!bounds.is_empty());
    assert_eq!(find_violations(&bounds, figures()), Vec::<String>::new());
}

#[test]
fn exceeded_and_unmeasured_bounds_are_reported() {
    let bound = |name: &str, max: f64| Bound { name: name.into(), size: 1, max };
    let violations = find_violations(
        &[bound("store writes per claim, by claims a second", 0.5), bound("no such figure", 1.0)],
        figures(),
    );
    assert_eq!(violations.len(), 2, "{violations:?}");
}
