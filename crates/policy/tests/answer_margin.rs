//! The margin of an answer by the CPU share of the node and the number of shards.

use streamfold_model::CoreShare;
use streamfold_policy::answer_margin::answer_margin;

#[test]
fn weak_nodes_and_large_answers_need_a_larger_margin() {
    let cases = [(20, Some(250)), (180, Some(500)), (180, Some(120)), (270, Some(120)), (180, None)];
    let margins = cases.map(|(shards, power)| {
        let margin = answer_margin(shards, power.map(CoreShare));
        format!("{shards} shards at {power:?}: {:.1} ms", margin.as_secs_f64() * 1e3)
    });
    insta::assert_snapshot!(margins.join("\n"));
}
