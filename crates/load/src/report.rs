//! Renders results as tables.

use std::fmt::Write as _;

use crate::record::LoadResult;

/// Renders a table of the runs and a table of their kinds.
pub fn render_table(results: &[LoadResult]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "| scenario | policy | weighted/s | away % | cost s | doubled | false not-run | control B/s | retry % | switches/min |"
    );
    let _ = writeln!(out, "|---|---|---|---|---|---|---|---|---|---|");
    for result in results {
        let _ = writeln!(
            out,
            "| {} | {} | {:.1} | {:.1} | {:.4} | {} | {} | {:.0} | {:.1} | {:.1} |",
            result.scenario,
            result.label,
            result.weighted_per_second,
            result.away_share * 100.0,
            result.cost,
            result.doubled_runs,
            result.false_not_run,
            result.control_bytes,
            result.retry_share * 100.0,
            result.switches_per_minute,
        );
    }
    let _ = writeln!(out);
    let _ = writeln!(
        out,
        "| policy | kind | requests | in time % | not-run % | may-have-run | broken | lost | first byte p50/p95/p99 ms | whole p50/p95/p99 ms |"
    );
    let _ = writeln!(out, "|---|---|---|---|---|---|---|---|---|---|");
    for result in results {
        for (name, kind) in &result.kinds {
            let percent = |count: u64| 100.0 * count as f64 / kind.requests.max(1) as f64;
            let three = |q: &[f64; 3]| format!("{:.0}/{:.0}/{:.0}", q[0], q[1], q[2]);
            let _ = writeln!(
                out,
                "| {} | {name} | {} | {:.1} | {:.1} | {} | {} | {} | {} | {} |",
                result.label,
                kind.requests,
                percent(kind.in_time),
                percent(kind.not_run),
                kind.may_have_run,
                kind.broken,
                kind.lost,
                three(&kind.first_byte_ms),
                three(&kind.whole_ms),
            );
        }
    }
    out
}
