//! Plots goodput by policy, one SVG per plan.

use std::path::Path;

use anyhow::Context;
use plotters::prelude::*;

use super::rows::Row;

/// Width and height in pixels.
const SIZE: (u32, u32) = (1000, 560);

/// Writes `goodput.svg`: one line per policy over the cells, each point the median of its runs.
pub fn plot(rows: &[Row], out: &Path) -> anyhow::Result<()> {
    let mut cells: Vec<&str> = Vec::new();
    let mut policies: Vec<&str> = Vec::new();
    for r in rows {
        if !cells.contains(&r.cell.as_str()) {
            cells.push(&r.cell);
        }
        if !policies.contains(&r.policy.as_str()) {
            policies.push(&r.policy);
        }
    }
    let file = out.join("goodput.svg");
    draw(rows, &cells, &policies, &file)
        .with_context(|| format!("could not draw {}", file.display()))
}

fn median(rows: &[Row], cell: &str, policy: &str) -> f64 {
    let matching = rows.iter().filter(|r| r.cell == cell && r.policy == policy);
    let mut values: Vec<f64> = matching.map(|r| r.goodput).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn draw(rows: &[Row], cells: &[&str], policies: &[&str], file: &Path) -> anyhow::Result<()> {
    let max_goodput = rows.iter().map(|r| r.goodput).fold(1.0, f64::max);
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0f64..(cells.len().max(2) - 1) as f64, 0f64..max_goodput * 1.1)?;
    chart.configure_mesh().disable_mesh().draw()?;
    for (i, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = cells.iter().enumerate().map(|(x, c)| (x as f64, median(rows, c, policy)));
        chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
    }
    root.present()?;
    Ok(())
}
