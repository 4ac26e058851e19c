//! Renders results as a plot.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::record::LoadResult;

const SIZE: (u32, u32) = (900, 500);
const COLORS: [RGBColor; 6] = [BLUE, RED, GREEN, MAGENTA, CYAN, BLACK];

/// Plots the latency quantiles to completion, by run and kind, as SVG.
///
/// # Errors
///
/// The file cannot be written.
pub fn plot_latency(results: &[LoadResult], path: &Path) -> Result<(), Box<dyn Error>> {
    let top = results
        .iter()
        .flat_map(|result| result.kinds.values().map(|kind| kind.whole_ms[2]))
        .fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..2.0, (1.0..top).log_scale())?;
    chart.configure_mesh().x_labels(3).draw()?;
    for (i, result) in results.iter().enumerate() {
        let color = COLORS[i % COLORS.len()];
        for kind in result.kinds.values() {
            let points = kind
                .whole_ms
                .iter()
                .enumerate()
                .map(|(x, y)| (x as f64, y.max(1.0)));
            chart.draw_series(LineSeries::new(points, &color))?;
        }
    }
    root.present()?;
    Ok(())
}
