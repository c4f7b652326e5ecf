//! A measured line: points, the straight line through them, and its extension.

use std::fmt;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Point {
    pub(crate) size: f64,
    pub(crate) value: f64,
}

/// What was measured over a range of sizes.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// What was measured, with its unit.
    pub(crate) what: &'static str,
    /// What the size counts.
    pub(crate) size: &'static str,
    pub(crate) points: Vec<Point>,
    /// The size that is built for.
    pub(crate) target: f64,
}

impl Line {
    /// Measures at each size.
    pub(crate) fn measure(
        what: &'static str,
        size: &'static str,
        sizes: &[usize],
        target: usize,
        mut at: impl FnMut(usize) -> f64,
    ) -> Self {
        let points = sizes.iter().map(|&n| Point { size: n as f64, value: at(n) }).collect();
        Self { what, size, points, target: target as f64 }
    }

    /// Growth of the value with each unit of size, by least squares.
    pub(crate) fn slope(&self) -> f64 {
        let (mean_size, mean_value) = self.means();
        let (mut above, mut below) = (0.0, 0.0);
        for point in &self.points {
            above += (point.size - mean_size) * (point.value - mean_value);
            below += (point.size - mean_size).powi(2);
        }
        if below == 0.0 { 0.0 } else { above / below }
    }

    /// The line's value at the size that is built for.
    pub(crate) fn extended(&self) -> f64 {
        let (mean_size, mean_value) = self.means();
        mean_value + self.slope() * (self.target - mean_size)
    }

    fn means(&self) -> (f64, f64) {
        let count = self.points.len().max(1) as f64;
        let sizes: f64 = self.points.iter().map(|p| p.size).sum();
        let values: f64 = self.points.iter().map(|p| p.value).sum();
        (sizes / count, values / count)
    }
}

/// One row of a Markdown table.
impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points: Vec<String> =
            self.points.iter().map(|p| format!("{}: {}", p.size, short(p.value))).collect();
        write!(
            f,
            "| {} | {} | {} | {} | {} at {} |",
            self.what,
            self.size,
            points.join(", "),
            short(self.slope()),
            short(self.extended()),
            self.target
        )
    }
}

/// Three significant digits.
fn short(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    format!("{value:.*}", digits.max(0) as usize)
}
