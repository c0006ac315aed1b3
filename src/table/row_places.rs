use std::collections::BTreeMap;

use crate::error::InputPlace;

/// The file and line of each table row that was read from a file.
///
/// Rows are keyed as in [`TableRows`](super::TableRows): `route.<name>`, `pool.<name>`,
/// `upstream.<name>` and `store.<name>`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RowPlaces {
    places: BTreeMap<String, InputPlace>,
}

impl RowPlaces {
    /// Records the place of a row; of several rows with the same key, the first one counts.
    pub fn insert(&mut self, key: String, place: InputPlace) {
        self.places.entry(key).or_insert(place);
    }

    /// Returns the place of a row, or [`InputPlace::Stored`] if it was not read from a file.
    #[must_use]
    pub fn place(&self, key: &str) -> InputPlace {
        self.places.get(key).cloned().unwrap_or(InputPlace::Stored)
    }

    /// Adds the places of another file; keys that are present already keep their place.
    pub fn extend(&mut self, other: Self) {
        for (key, place) in other.places {
            self.insert(key, place);
        }
    }
}
