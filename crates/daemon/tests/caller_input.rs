//! Parameters of callers' requests as HTTP libraries send them.

use std::borrow::Cow;

use streamfold_daemon::caller_input::{find_parameter, read_shards};
use streamfold_model::ShardId;

#[test]
fn shards_with_an_encoded_comma_were_refused() {
    let expected = Some([0, 1, 2, 3, 7].map(ShardId).to_vec());
    for parameters in ["shards=0-3,7", "shards=0-3%2C7", "shards=0%2D3%2c7", "count=1&shards=0-3%2C7"] {
        assert_eq!(read_shards(Some(parameters)).expect("shards"), expected, "{parameters}");
    }
}

#[test]
fn parameters_are_separated_before_they_are_decoded() {
    let find = |name| find_parameter(Some("count=1%262&shards=3"), name).map(Cow::into_owned);
    assert_eq!((find("count").as_deref(), find("shards").as_deref()), (Some("1&2"), Some("3")));
}
