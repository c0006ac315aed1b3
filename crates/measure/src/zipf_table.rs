use rand::{Rng, RngExt};

/// Draws positions 0 to `count - 1` with probabilities proportional to `1 / (position + 1)^exponent`.
#[derive(Debug, Clone)]
pub(crate) struct ZipfTable {
    sums: Vec<f64>,
}

impl ZipfTable {
    pub(crate) fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let mut place = 0.0;
        let sums = (0..count)
            .map(|_| {
                place += 1.0;
                sum += f64::powf(place, -exponent);
                sum
            })
            .collect();
        Self { sums }
    }

    pub(crate) fn draw(&self, random: &mut impl Rng) -> usize {
        let total = self.sums.last().copied().unwrap_or(0.0);
        let point = random.random::<f64>() * total;
        self.sums
            .partition_point(|sum| *sum <= point)
            .min(self.sums.len().saturating_sub(1))
    }
}
