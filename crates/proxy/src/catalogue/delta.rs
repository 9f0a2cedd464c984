//! Computes and applies the difference between two texts, sent instead of the full text.

use serde::{Deserialize, Serialize};
use tanager_core::FastMap;

use crate::catalogue::{DOCUMENT_LIMIT, Digest, digest};

/// Maximum number of regions in one delta. A change with more is sent as the full text.
pub(super) const REGIONS_LIMIT: usize = 256;

/// The changed regions of a text. They apply only to the text that they were computed from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The changed regions in the order of the base.
    pub regions: Vec<Region>,
    /// Digest of the new text.
    pub digest: Digest,
}

/// A part of the base that is replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Region {
    /// First byte of the base that is replaced.
    pub start: u32,
    /// First byte of the base after the replaced ones.
    pub end: u32,
    /// The text that replaces them.
    pub text: String,
}

impl Delta {
    /// Compares two texts line by line. Returns `None` if the delta is not much smaller than `new`:
    /// if it has too many regions or is larger than half of it.
    #[must_use]
    pub fn between(base: &str, new: &str) -> Option<Self> {
        let mut regions = Vec::new();
        let mut size = 0;
        for change in Changes::new(base, new) {
            let region = trim_common_ends(base, new, &change)?;
            // The encoding of a region takes 16 bytes besides its text.
            size += region.text.len() + 16;
            regions.push(region);
            if regions.len() > REGIONS_LIMIT || size * 2 > new.len() {
                return None;
            }
        }
        let digest = digest(new);
        Some(Self { regions, digest })
    }

    /// Rebuilds the new text. Returns `None` if the delta does not fit `base`, or if the result is
    /// too large or has another digest than the sender's text.
    #[must_use]
    pub fn apply(&self, base: &str) -> Option<String> {
        let added: usize = self.regions.iter().map(|r| r.text.len()).sum();
        if self.regions.len() > REGIONS_LIMIT || added > DOCUMENT_LIMIT {
            return None;
        }
        let mut text = String::with_capacity(base.len() + added);
        let mut copied = 0;
        for region in &self.regions {
            let start = usize::try_from(region.start).ok()?;
            let end = usize::try_from(region.end).ok()?;
            text.push_str(base.get(copied..start)?);
            text.push_str(&region.text);
            // This also refuses an end before the start.
            base.get(start..end)?;
            copied = end;
        }
        text.push_str(base.get(copied..)?);
        (text.len() <= DOCUMENT_LIMIT && digest(&text) == self.digest).then_some(text)
    }
}

/// Byte ranges of the base and of the new text that differ from each other.
struct Change {
    base: (usize, usize),
    new: (usize, usize),
}

/// Finds the changed regions of a text. Lines that occur once in the base mark where the two texts
/// are aligned again.
struct Changes<'a> {
    base: Lines<'a>,
    new: Lines<'a>,
    /// Number of each line of the base, `None` if it occurs more than once.
    unique_lines: FastMap<&'a str, Option<usize>>,
    /// Number of the next line of the base and of the new text.
    position: (usize, usize),
}

impl<'a> Changes<'a> {
    fn new(base: &'a str, new: &'a str) -> Self {
        let (base, new) = (Lines::new(base), Lines::new(new));
        let mut unique_lines = FastMap::default();
        for (number, line) in base.lines.iter().enumerate() {
            let entry = unique_lines.entry(*line).or_insert(Some(number));
            *entry = entry.filter(|n| *n == number);
        }
        Self {
            base,
            new,
            unique_lines,
            position: (0, 0),
        }
    }

    /// Returns the lines of both texts at which they are aligned again after a difference at
    /// `from`.
    fn realign(&self, from: (usize, usize)) -> (usize, usize) {
        for (number, line) in self.new.lines.iter().enumerate().skip(from.1) {
            if let Some(Some(base_number)) = self.unique_lines.get(line)
                && *base_number >= from.0
            {
                let (mut base, mut new) = (*base_number, number);
                while base > from.0
                    && new > from.1
                    && self.base.lines[base - 1] == self.new.lines[new - 1]
                {
                    (base, new) = (base - 1, new - 1);
                }
                return (base, new);
            }
        }
        (self.base.lines.len(), self.new.lines.len())
    }
}

impl Iterator for Changes<'_> {
    type Item = Change;

    fn next(&mut self) -> Option<Change> {
        let (mut base, mut new) = self.position;
        while let (Some(a), Some(b)) = (self.base.lines.get(base), self.new.lines.get(new)) {
            if a != b {
                break;
            }
            (base, new) = (base + 1, new + 1);
        }
        if base == self.base.lines.len() && new == self.new.lines.len() {
            return None;
        }
        self.position = self.realign((base, new));
        Some(Change {
            base: (self.base.starts[base], self.base.starts[self.position.0]),
            new: (self.new.starts[new], self.new.starts[self.position.1]),
        })
    }
}

/// The lines of a text, including their line ends.
struct Lines<'a> {
    lines: Vec<&'a str>,
    /// First byte of each line, and the length of the text.
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        let lines: Vec<&str> = text.split_inclusive('\n').collect();
        let mut starts = vec![0];
        let mut end = 0;
        for line in &lines {
            end += line.len();
            starts.push(end);
        }
        Self { lines, starts }
    }
}

/// Reduces a change to what differs, without the common prefix and suffix of its two sides. Returns
/// `None` if an offset does not fit into 32 bits.
fn trim_common_ends(base: &str, new: &str, change: &Change) -> Option<Region> {
    let old = &base[change.base.0..change.base.1];
    let text = &new[change.new.0..change.new.1];
    let pairs = old.chars().zip(text.chars());
    let prefix: usize = pairs
        .take_while(|(a, b)| a == b)
        .map(|(a, _)| a.len_utf8())
        .sum();
    let (old, text) = (&old[prefix..], &text[prefix..]);
    let pairs = old.chars().rev().zip(text.chars().rev());
    let suffix: usize = pairs
        .take_while(|(a, b)| a == b)
        .map(|(a, _)| a.len_utf8())
        .sum();
    let start = change.base.0 + prefix;
    Some(Region {
        start: u32::try_from(start).ok()?,
        end: u32::try_from(start + old.len() - suffix).ok()?,
        text: text[..text.len() - suffix].to_owned(),
    })
}
