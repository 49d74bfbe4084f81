//! The schedule of a planned stop.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_policy::stop_schedule::StopSchedule;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_long_grace_leaves_fixed_times_for_the_end() {
    let schedule = StopSchedule::new(ms(2_000), ms(30_000));
    let expected = StopSchedule {
        refuse_after: ms(2_000),
        hand_over_after: ms(27_000),
        give_up_after: ms(29_000),
        end_after: ms(29_600),
    };
    assert_eq!(schedule, expected);
}

#[test]
fn a_short_grace_is_shared() {
    let schedule = StopSchedule::new(ms(2_000), ms(1_000));
    let expected =
        StopSchedule { refuse_after: ms(600), hand_over_after: ms(600), give_up_after: ms(800), end_after: ms(900) };
    assert_eq!(schedule, expected);
}

quickcheck! {
    /// Guards against a stop that takes longer than the platform waits for it.
    fn the_whole_stop_fits_into_the_grace(lame_duck: u32, grace: u32) -> bool {
        let (lame_duck, grace) = (ms(u64::from(lame_duck)), ms(u64::from(grace)));
        let schedule = StopSchedule::new(lame_duck, grace);
        schedule.refuse_after <= lame_duck
            && schedule.refuse_after <= schedule.hand_over_after
            && schedule.hand_over_after <= schedule.give_up_after
            && schedule.give_up_after <= schedule.end_after
            && schedule.end_after <= grace
    }
}
