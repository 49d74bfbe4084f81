//! Random numbers from the standard library's hash keys.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

pub fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}

pub fn chance(permille: u64) -> bool {
    permille > 0 && random() % 1000 < permille
}
