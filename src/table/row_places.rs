use std::collections::BTreeMap;

use crate::error::InputPlace;

/// The places of table rows in the files that they were read from.
///
/// Rows are keyed as in [`TableRows`](super::TableRows): `route.<name>`, `pool.<name>`,
/// `upstream.<name>` and `store.<name>`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RowPlaces {
    places: BTreeMap<String, InputPlace>,
}

impl RowPlaces {
    /// Notes the place of a row; the first of several rows with one key keeps its place.
    pub fn insert(&mut self, key: String, place: InputPlace) {
        self.places.entry(key).or_insert(place);
    }

    /// Returns the place of a row.
    #[must_use]
    pub fn place(&self, key: &str) -> InputPlace {
        self.places.get(key).cloned().unwrap_or(InputPlace::Stored)
    }

    /// Adds the places of another file.
    pub fn extend(&mut self, other: Self) {
        for (key, place) in other.places {
            self.insert(key, place);
        }
    }
}
