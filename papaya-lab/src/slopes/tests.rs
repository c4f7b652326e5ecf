//! Tests of the measured line.

use super::line::{Line, Point};

fn line(points: &[(f64, f64)]) -> Line {
    let points = points.iter().map(|&(size, value)| Point { size, value }).collect();
    Line { what: "test, ms", size: "items", points, target: 100.0 }
}

#[test]
fn line_straight() {
    let line = line(&[(10.0, 25.0), (20.0, 45.0), (30.0, 65.0)]);
    assert!((line.slope() - 2.0).abs() < 1e-9);
    assert!((line.extended() - 205.0).abs() < 1e-9);
}

#[test]
fn line_flat() {
    let line = line(&[(10.0, 3.0), (20.0, 3.0)]);
    assert_eq!((line.slope(), line.extended()), (0.0, 3.0));
}

#[test]
fn line_row() {
    let row = line(&[(10.0, 25.0), (20.0, 45.0)]).to_string();
    assert_eq!(row, "| test, ms | items | 10: 25.0, 20: 45.0 | 2.00 | 205 at 100 |");
}
