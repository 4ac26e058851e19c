//! Least-squares fit of a line, and rows of the table of results.

use std::fmt;

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SeriesPoint {
    pub(crate) x: f64,
    pub(crate) y: f64,
}

/// A line fitted to points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LineFit {
    pub(crate) slope: f64,
    pub(crate) base: f64,
    pub(crate) r2: f64,
}

/// Fits a line to the points by least squares.
pub(crate) fn fit_line(points: &[SeriesPoint]) -> LineFit {
    let n = points.len() as f64;
    let mean = |f: fn(&SeriesPoint) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mx, my) = (mean(|p| p.x), mean(|p| p.y));
    let sxx: f64 = points.iter().map(|p| (p.x - mx).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| (p.x - mx) * (p.y - my)).sum();
    let syy: f64 = points.iter().map(|p| (p.y - my).powi(2)).sum();
    let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
    let r2 = if sxx > 0.0 && syy > 0.0 {
        sxy * sxy / (sxx * syy)
    } else {
        1.0
    };
    LineFit {
        slope,
        base: my - slope * mx,
        r2,
    }
}

/// The measured points of one series.
pub(crate) struct SeriesRow {
    pub(crate) name: String,
    pub(crate) unit: &'static str,
    pub(crate) points: Vec<SeriesPoint>,
}

impl fmt::Display for SeriesRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|p| format!("{}: {:.2}", p.x, p.y))
            .collect();
        let line = fit_line(&self.points);
        write!(
            f,
            "| {} | {} | {} | {:.3} | {:.2} | {:.3} |",
            self.name,
            self.unit,
            points.join(", "),
            line.slope,
            line.base,
            line.r2
        )
    }
}
