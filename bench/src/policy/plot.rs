//! A picture of the table: stall time of each policy on each workload.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use super::measure::Row;
use super::traffic::count;

const WIDTH: u32 = 1200;
/// Height of one workload's bars, in pixels.
const GROUP: u32 = 72;
const MARGIN: u32 = 16;
const CAPTION_SIZE: u32 = 18;
const LABEL_SIZE: u32 = 13;
const NAMES_WIDTH: u32 = 170;
const SCALE_HEIGHT: u32 = 40;
/// Share of a group's height that bars fill.
const FILLED: f64 = 0.8;
/// Shortest bar, so that a workload without stalls is still seen, in seconds.
const LEAST: f64 = 1.0;

/// Writes a bar chart of total stall time, on a logarithmic scale.
///
/// # Errors
///
/// When the file can't be written.
pub fn write(path: &Path, rows: &[Row]) -> Result<()> {
    draw(path, rows).map_err(|error| eyre!("can't draw {}: {error}", path.display()))
}

fn seconds(row: &Row) -> f64 {
    let millis = usize::try_from(row.stall_ms_total).unwrap_or(usize::MAX);
    (count(millis) / 1000.0).max(LEAST)
}

/// Lists what differs, in the order of its first appearance.
fn distinct<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut seen = Vec::new();
    for name in names {
        if !seen.contains(&name) {
            seen.push(name);
        }
    }
    seen
}

fn draw(path: &Path, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let policies = distinct(rows.iter().map(|row| row.policy));
    let workloads = distinct(rows.iter().map(|row| row.workload.as_str()));
    let most = rows.iter().map(seconds).fold(LEAST, f64::max) * 2.0;
    let groups = u32::try_from(workloads.len())?;
    let height = groups * GROUP + 4 * SCALE_HEIGHT;
    let root = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(MARGIN)
        .caption(
            "Total stall time by workload and policy",
            ("sans-serif", CAPTION_SIZE),
        )
        .x_label_area_size(SCALE_HEIGHT)
        .y_label_area_size(NAMES_WIDTH)
        .build_cartesian_2d((LEAST..most).log_scale(), count(workloads.len())..0.0)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .disable_y_axis()
        .x_desc("seconds")
        .draw()?;
    let thick = FILLED / count(policies.len());
    for (index, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(index);
        let bars = rows.iter().filter(|row| row.policy == *policy).map(|row| {
            let group = workloads.iter().position(|name| *name == row.workload);
            let top = count(group.unwrap_or(0)) + (1.0 - FILLED) / 2.0 + thick * count(index);
            Rectangle::new([(LEAST, top), (seconds(row), top + thick)], color.filled())
        });
        chart
            .draw_series(bars)?
            .label(*policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled()));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    let style = ("sans-serif", LABEL_SIZE).into_font();
    for (index, name) in workloads.iter().enumerate() {
        let (_, y) = chart.backend_coord(&(LEAST, count(index) + 0.5));
        let place = (i32::try_from(MARGIN)?, y);
        root.draw(&Text::new((*name).to_owned(), place, style.clone()))?;
    }
    root.present()?;
    Ok(())
}
