//! Token buckets limit rates of any size.

use streamfold_policy::{Moment, TokenBucket};

/// Rates at which the time until the next token is longer than any `Duration`.
const TINY_RATES: [f64; 3] = [0.0, f64::MIN_POSITIVE, 1e-20];

#[test]
fn a_bucket_with_a_tiny_rate_grants_one_token_and_refuses_the_next() {
    for rate in TINY_RATES {
        let mut bucket = TokenBucket::default();
        assert_eq!(bucket.take(Moment(0), rate), Ok(()), "the bucket starts full at rate {rate}");
        let wait = bucket.take(Moment(1), rate).expect_err("no token is left");
        assert!(!wait.is_zero(), "the next token takes time at rate {rate}");
    }
}
