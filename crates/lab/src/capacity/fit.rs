//! A straight line through measured points, by least squares.

/// The fitted line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub intercept: f64,
    pub slope: f64,
    /// The root mean square of the points' distances from the line, along y.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points (x, y). Returns `None` where they have fewer than two different x.
    pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        if points.is_empty() || spread == 0.0 {
            return None;
        }
        let slope = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let squared_error: f64 =
            points.iter().map(|point| (point.1 - intercept - slope * point.0).powi(2)).sum();
        Some(Line { intercept, slope, residual: (squared_error / count).sqrt() })
    }

    /// The line's y at x.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
