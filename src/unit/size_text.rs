use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// Reads and writes a number of bytes as text with a unit, such as `"512B"`, `"64KiB"`, `"1MiB"` or
/// `"2GiB"`.
#[derive(Debug)]
pub struct SizeText;

impl SizeText {
    /// Parses a whole number followed by `B`, `KiB`, `MiB` or `GiB`.
    ///
    /// # Errors
    ///
    /// Fails with a message for the operator if the unit is missing or unknown, or if the number is
    /// missing or overflows.
    pub fn parse(text: &str) -> Result<u64, String> {
        let digits = text
            .find(|letter: char| !letter.is_ascii_digit())
            .unwrap_or(text.len());
        let (number, unit) = text.split_at(digits);
        let scale: u64 = match unit {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            "GiB" => 1 << 30,
            _ => {
                return Err(format!(
                    "size {text:?}: use a whole number with B, KiB, MiB or GiB, such as \"1MiB\""
                ));
            }
        };
        number
            .parse::<u64>()
            .ok()
            .and_then(|number| number.checked_mul(scale))
            .ok_or_else(|| format!("size {text:?}: the number is missing or too large"))
    }

    /// Formats a size in the largest unit that divides it evenly.
    #[must_use]
    pub fn format(size: u64) -> String {
        for (scale, unit) in [(1 << 30, "GiB"), (1 << 20, "MiB"), (1 << 10, "KiB")] {
            if size >= scale && size.is_multiple_of(scale) {
                return format!("{}{unit}", size / scale);
            }
        }
        format!("{size}B")
    }
}

impl SerializeAs<u64> for SizeText {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&Self::format(*source))
    }
}

impl<'de> DeserializeAs<'de, u64> for SizeText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}
