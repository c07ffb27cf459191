//! Means with confidence intervals, also of differences paired by seed.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean and half the width of its 95% confidence interval (Student's t), which is infinite for fewer than
/// two figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    pub mean: f64,
    pub half_width: f64,
}

impl Mean {
    /// The mean of these figures; 0 for none.
    pub fn of(figures: &[f64]) -> Mean {
        let count = figures.len() as f64;
        let mean = figures.iter().sum::<f64>() / count.max(1.0);
        if figures.len() < 2 {
            return Mean { mean, half_width: f64::INFINITY };
        }
        let variance = figures.iter().map(|figure| (figure - mean).powi(2)).sum::<f64>() / (count - 1.0);
        let t = StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
        // Without variance the interval has no width, whatever t is.
        let half_width = if variance == 0.0 { 0.0 } else { t * (variance / count).sqrt() };
        Mean { mean, half_width }
    }

    /// The mean of the differences `left - right` between figures of the same seeds.
    pub fn paired(left: &[f64], right: &[f64]) -> Mean {
        Mean::of(&left.iter().zip(right).map(|(left, right)| left - right).collect::<Vec<_>>())
    }

    /// Whether the interval contains zero, so that the sign of the mean is not significant.
    pub fn covers_zero(&self) -> bool {
        self.mean.abs() <= self.half_width
    }
}
