use comfreychute::Result;
use comfreychute::id::AdapterRef;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{LoadSettings, PlannedRequest, RankShares, ZipfChoice};

/// The sequence of requests that a seed determines.
#[derive(Debug)]
pub struct LoadPlan {
    adapters: Vec<AdapterRef>,
    choice: ZipfChoice,
    shares: RankShares,
    random: StdRng,
    seed: u64,
    next: u64,
}

impl LoadPlan {
    /// Prepares the plan.
    ///
    /// # Errors
    ///
    /// Fails if the settings give adapters names that are not valid.
    pub fn new(settings: &LoadSettings) -> Result<Self> {
        let adapters: Vec<AdapterRef> = (0..settings.adapters.max(1))
            .map(|number| {
                let name = format!("{}{number}", settings.adapter_prefix);
                AdapterRef::new(&name, &settings.adapter_version)
            })
            .collect::<Result<_>>()?;
        Ok(Self {
            choice: ZipfChoice::new(settings.adapters, settings.exponent),
            adapters,
            shares: settings.shares,
            random: StdRng::seed_from_u64(settings.seed),
            seed: settings.seed,
            next: 0,
        })
    }

    /// Borrows all adapters, the most popular first.
    #[must_use]
    pub fn adapters(&self) -> &[AdapterRef] {
        &self.adapters
    }

    /// Draws the next request.
    pub fn draw(&mut self) -> PlannedRequest {
        let number = self.next;
        self.next += 1;
        let index = self.choice.at(self.random.random());
        PlannedRequest {
            number,
            adapter: self.adapters[index].clone(),
            rank: self.shares.at(self.random.random()),
            prompt: format!("load {} {number}", self.seed),
        }
    }
}
