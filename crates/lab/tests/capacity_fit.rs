//! Least-squares fits of measured points.

use tarragon_lab::capacity::fit::{Line, Point, Power};
use tarragon_lab::capacity::meter;
use tarragon_lab::capacity::series::Series;

/// Generates a test that the points give a line with this slope, intercept, R2 and residual.
macro_rules! line {
    ($($name:ident: $points:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let points = $points.map(|(x, y)| Point { x, y });
            let line = Line::fit(&points).unwrap();
            let got = [line.slope, line.intercept, line.r2, line.residual];
            for (got, expected) in got.into_iter().zip($expected) {
                assert!((got - expected).abs() < 1e-9, "{got} {expected}");
            }
        }
    )*};
}

line! {
    exact: [(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)] => [2.0, 1.0, 1.0, 0.0];
    flat: [(1.0, 7.0), (2.0, 7.0), (3.0, 7.0)] => [0.0, 7.0, 1.0, 0.0];
    scattered: [(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)] => [0.5, 0.5, 0.25, 0.5_f64.sqrt()];
}

/// Generates a test that the points determine neither a line nor a power law.
macro_rules! undetermined {
    ($($name:ident: $points:expr;)*) => {$(
        #[test]
        fn $name() {
            let points: Vec<Point> = $points.into_iter().map(|(x, y)| Point { x, y }).collect();
            assert!(Line::fit(&points).is_none());
            assert!(Power::fit(&points).is_none());
        }
    )*};
}

undetermined! {
    no_points: [];
    one_point: [(1.0, 1.0)];
    one_size: [(2.0, 1.0), (2.0, 3.0)];
}

#[test]
fn power_skips_points_without_a_logarithm() {
    let points = [(0.0, 0.0), (2.0, 8.0), (4.0, 64.0)].map(|(x, y)| Point { x, y });
    let power = Power::fit(&points).unwrap();
    assert!((power.exponent - 3.0).abs() < 1e-9);
    assert!((power.at(3.0) - 27.0).abs() < 1e-9);
}

#[test]
fn a_series_is_evaluated_by_its_growth_model() {
    let mut series = Series::new("s", "x", "y", 8.0);
    for x in [1.0, 2.0, 4.0] {
        series.add(x, x * x);
    }
    let line = series.at(8.0);
    let power = series.with_power_growth().at(8.0);
    assert!(line < 50.0, "{line}");
    assert!((power - 64.0).abs() < 1e-9, "{power}");
}

#[test]
fn the_median_ignores_one_slow_repetition() {
    let mut costs = [1.0, 900.0, 2.0].into_iter();
    let cost = meter::median_of(3, || costs.next().unwrap_or_default());
    assert!((cost - 2.0).abs() < 1e-9);
}
