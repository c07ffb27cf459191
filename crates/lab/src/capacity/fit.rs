//! A straight line through measured points, by least squares.

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub intercept: f64,
    pub slope: f64,
    /// How far the points lie off it, as the root of the mean square.
    pub residual: f64,
}

impl Line {
    /// None where the points have less than two different x.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        if points.is_empty() || spread == 0.0 {
            return None;
        }
        let slope = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum::<f64>() / spread;
        let intercept = y - slope * x;
        let off: f64 = points.iter().map(|point| (point.1 - intercept - slope * point.0).powi(2)).sum();
        Some(Line { intercept, slope, residual: (off / count).sqrt() })
    }

    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
