//! Random numbers by name: each part of a scenario draws from a stream of its own, so that changing one part leaves the
//! draws of all others as they were.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sha2::{Digest, Sha256};

/// All streams of one seed.
#[derive(Debug, Clone, Copy)]
pub struct Streams {
    seed: u64,
}

impl Streams {
    /// The streams of this seed.
    pub fn new(seed: u64) -> Streams {
        Streams { seed }
    }

    /// The stream of this name; the same name gives the same draws from the start.
    pub fn of(&self, name: &str) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.number(name))
    }

    /// A number for whoever takes a seed of its own.
    pub fn number(&self, name: &str) -> u64 {
        let mut hash = Sha256::new();
        hash.update(self.seed.to_le_bytes());
        hash.update(name.as_bytes());
        let digest = hash.finalize();
        u64::from_le_bytes(digest[..8].try_into().expect("eight bytes of thirty-two"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::Rng;

    #[test]
    fn names_and_seeds_tell_streams_apart_and_nothing_else_does() {
        let draw = |seed, name: &str| -> u64 { Streams::new(seed).of(name).random() };
        assert_eq!(draw(1, "a"), draw(1, "a"));
        assert_ne!(draw(1, "a"), draw(1, "b"));
        assert_ne!(draw(1, "a"), draw(2, "a"));
    }
}
