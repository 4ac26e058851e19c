//! Compares predicted with measured times, read from the logs of gateways.
//!
//! A line `request ended` holds the time at which the last attempt was sent, the
//! predictions for it, and the times of the first and last byte of its response. The
//! ratio of measured to predicted time is reported per route and per place: `home` in
//! the VM's region, or `away` in another. A ratio of 1 is an exact prediction; a ratio
//! of 2 means that the request took twice the predicted time.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::io::{self, BufRead};
use std::path::Path;

use plotters::prelude::*;
use serde_json::{Map, Value};

use crate::explain::parse_line;

const PLOT_SIZE: (u32, u32) = (900, 500);
const PLOT_COLORS: [RGBColor; 6] = [BLUE, RED, GREEN, MAGENTA, CYAN, BLACK];
/// Quantiles in the report.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];
/// Range of ratios in the plot.
const PLOT_RANGE: (f64, f64) = (0.1, 10.0);
/// Number of steps of a curve in the plot.
const PLOT_POINTS: usize = 100;
/// Minimum predicted time to the first byte, in milliseconds; requests with a shorter
/// prediction are ignored, because the end of their response is that of the first byte.
const MIN_PREDICTED_MS: f64 = 1.0;

/// Key by which requests are grouped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PredictionGroup {
    /// Route of the requests.
    pub route: String,
    /// Region of the VM that logged the request, if known, and `home` or `away`
    /// (forwarded to another region).
    pub place: String,
}

/// Ratios of measured to predicted times of one group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PredictionRatios {
    first: Vec<f64>,
    end: Vec<f64>,
}

/// Ratios of measured to predicted times, by route and place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PredictionReport {
    groups: BTreeMap<PredictionGroup, PredictionRatios>,
}

impl PredictionReport {
    /// Adds the lines of a log.
    ///
    /// # Errors
    ///
    /// The log cannot be read.
    ///
    /// ```
    /// use onyxfall_operator::PredictionReport;
    /// let log = br#"{"message":"request ended","route":"a","reason":"owner","outcome":"served",
    ///  "sent_ms":0,"predicted_ms":100,"first_ms":150}"#;
    /// let line: Vec<u8> = log.iter().copied().filter(|byte| *byte != b'\n').collect();
    /// let mut report = PredictionReport::default();
    /// report.read(&line[..]).unwrap();
    /// assert!(report.to_string().contains("1.50"));
    /// ```
    pub fn read(&mut self, log: impl BufRead) -> io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            if let Some((_, fields)) = parse_line(&line) {
                self.add_request(&fields);
            }
        }
        Ok(())
    }

    fn add_request(&mut self, fields: &Map<String, Value>) {
        let text = |name: &str| fields.get(name).and_then(Value::as_str);
        let number = |name: &str| fields.get(name).and_then(Value::as_f64);
        if text("message") != Some("request ended") {
            return;
        }
        let (Some(route), Some(predicted), Some(first), Some(sent)) = (
            text("route"),
            number("predicted_ms"),
            number("first_ms"),
            number("sent_ms"),
        ) else {
            return;
        };
        // The first byte of a resumed request did not come from the last attempt.
        if predicted < MIN_PREDICTED_MS || first < sent || number("resumes").unwrap_or(0.0) > 0.0 {
            return;
        }
        let kind = if text("reason") == Some("away") {
            "away"
        } else {
            "home"
        };
        let place = text("region").map_or(kind.to_owned(), |region| format!("{region}, {kind}"));
        let group = PredictionGroup {
            route: route.to_owned(),
            place,
        };
        let ratios = self.groups.entry(group).or_default();
        ratios.first.push((first - sent) / predicted);
        let (end, age) = (number("predicted_end_ms"), number("age_ms"));
        if let (Some(end), Some(age), Some("served")) = (end, age, text("outcome"))
            && end > predicted
        {
            ratios.end.push((age - sent) / end);
        }
    }

    /// Whether no log contained a prediction.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// All groups with their ratios.
    pub fn groups(&self) -> impl Iterator<Item = (&PredictionGroup, &PredictionRatios)> {
        self.groups.iter()
    }

    fn largest_groups(&self) -> impl Iterator<Item = (&PredictionGroup, &PredictionRatios)> {
        let mut groups: Vec<_> = self.groups.iter().collect();
        groups.sort_by_key(|(_, ratios)| std::cmp::Reverse(ratios.len()));
        groups.into_iter()
    }

    /// Plots the ratio of measured to predicted time to the first byte by quantile, for
    /// the groups with the most requests, as SVG.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn plot(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(20)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..1.0, (PLOT_RANGE.0..PLOT_RANGE.1).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("fraction of requests")
            .y_desc("measured / predicted first byte")
            .draw()?;
        for ((group, ratios), color) in self.largest_groups().zip(PLOT_COLORS) {
            let points = quantile_curve(&ratios.first);
            let name = format!("{} ({})", group.route, group.place);
            chart
                .draw_series(LineSeries::new(points, color))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .draw()?;
        root.present()?;
        Ok(())
    }
}

impl PredictionRatios {
    /// Number of requests in the group.
    pub fn len(&self) -> usize {
        self.first.len()
    }

    /// Whether the group has no request.
    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }

    /// Quantile `part` of the ratios for the time to the first byte.
    pub fn first_quantile(&self, part: f64) -> Option<f64> {
        quantile(&self.first, part)
    }

    /// Quantile `part` of the ratios for the time to the end of the response.
    pub fn end_quantile(&self, part: f64) -> Option<f64> {
        quantile(&self.end, part)
    }
}

impl fmt::Display for PredictionReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:<24} {:>8}  {:>20}  {:>20}",
            "route", "place", "requests", "first p50 p90 p99", "end p50 p90 p99"
        )?;
        for (group, ratios) in &self.groups {
            write!(
                f,
                "{:<16} {:<24} {:>8} ",
                group.route,
                group.place,
                ratios.len()
            )?;
            write_quantiles(f, &ratios.first)?;
            write_quantiles(f, &ratios.end)?;
            writeln!(f)?;
        }
        Ok(())
    }
}

fn write_quantiles(f: &mut fmt::Formatter<'_>, ratios: &[f64]) -> fmt::Result {
    for part in QUANTILES {
        match quantile(ratios, part) {
            Some(ratio) => write!(f, " {ratio:>6.2}")?,
            None => write!(f, " {:>6}", "-")?,
        }
    }
    Ok(())
}

fn quantile(ratios: &[f64], part: f64) -> Option<f64> {
    let mut sorted = ratios.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().checked_sub(1)?;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let index = (part.clamp(0.0, 1.0) * last as f64).round() as usize;
    sorted.get(index).copied()
}

fn quantile_curve(ratios: &[f64]) -> Vec<(f64, f64)> {
    (0..=PLOT_POINTS)
        .filter_map(|step| {
            let part = step as f64 / PLOT_POINTS as f64;
            let ratio = quantile(ratios, part)?;
            Some((part, ratio.clamp(PLOT_RANGE.0, PLOT_RANGE.1)))
        })
        .collect()
}
