/// Chooses among items whose popularity follows Zipf's law; item 0 is the most popular.
#[derive(Debug, Clone)]
pub struct ZipfChoice {
    cumulative: Vec<f64>,
}

impl ZipfChoice {
    /// Prepares the choice among `count` items, at least one, with weights `1 / rank^exponent`.
    #[must_use]
    pub fn new(count: u32, exponent: f64) -> Self {
        let mut sum = 0.0;
        let cumulative = (1..=count.max(1))
            .map(|rank| {
                sum += f64::from(rank).powf(-exponent);
                sum
            })
            .collect();
        Self { cumulative }
    }

    /// Returns the item at a position between 0 and 1 of the weights laid end to end.
    #[must_use]
    pub fn at(&self, position: f64) -> usize {
        let last = self.cumulative.len() - 1;
        let target = position * self.cumulative[last];
        self.cumulative
            .partition_point(|&sum| sum <= target)
            .min(last)
    }
}
