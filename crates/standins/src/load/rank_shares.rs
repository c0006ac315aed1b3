use std::str::FromStr;

use comfreychute::id::RequestRank;
use comfreychute::{Error, ErrorKind};

/// The share of each rank among the requests, written `urgent=1,standard=7,batch=2`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RankShares {
    weights: [f64; 3],
}

impl RankShares {
    /// Returns the rank at a position between 0 and 1 of the shares laid end to end.
    #[must_use]
    pub fn at(&self, position: f64) -> RequestRank {
        let mut rest = position * self.weights.iter().sum::<f64>();
        for (rank, weight) in RequestRank::ALL.into_iter().zip(self.weights) {
            if rest < weight {
                return rank;
            }
            rest -= weight;
        }
        RequestRank::Batch
    }
}

impl FromStr for RankShares {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || {
            Error::new(
                ErrorKind::Settings,
                format!("shares {text:?}: write them as urgent=1,standard=7,batch=2"),
            )
        };
        let mut weights = [0.0; 3];
        for part in text.split(',') {
            let (rank, weight) = part.split_once('=').ok_or_else(bad)?;
            let weight: f64 = weight.parse().ok().ok_or_else(bad)?;
            if !weight.is_finite() || weight < 0.0 {
                return Err(bad());
            }
            weights[rank.parse::<RequestRank>()?.index()] = weight;
        }
        if weights.iter().sum::<f64>() <= 0.0 {
            return Err(bad());
        }
        Ok(Self { weights })
    }
}
