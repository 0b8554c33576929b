//! A job finishes at most once, and a non-idempotent job that may have run is not retried.

use masticfall_core::id::{DataCentre, InstanceName, Name, QueueName, TeamName};
use masticfall_core::job::{AttemptEnd, JobRow, JobState, Needs};
use proptest::prelude::*;

fn queued(idempotent: bool) -> JobRow {
    JobRow {
        team: TeamName::from("t"),
        queue: QueueName::from("q"),
        data_centre: DataCentre::from("a"),
        needs: Needs::default(),
        idempotent,
        payload: Name::from("payload"),
        state: JobState::Queued,
        attempt: 0,
        worker: None,
        result: None,
        failed_on: Vec::new(),
        lost_workers: Vec::new(),
        reason: None,
        accepted_wall_ms: 0,
    }
}

proptest! {
    #[test]
    fn results_of_old_attempts_are_never_committed(
        idempotent in any::<bool>(),
        steps in prop::collection::vec((0..6u8, 0..5u32), 0..60),
    ) {
        let mut job = queued(idempotent);
        let mut may_have_run = 0;
        for (step, attempts_back) in steps {
            let attempt = job.attempt.saturating_sub(attempts_back);
            let before = job.clone();
            match step {
                0 if job.state == JobState::Queued => {
                    job.place(InstanceName::from("w"));
                }
                1 => {
                    job.end_attempt(attempt, AttemptEnd::Finished(Name::from("r")));
                }
                2 => {
                    let end =
                        if attempts_back == 0 { AttemptEnd::JobAtFault } else { AttemptEnd::Failed };
                    job.end_attempt(attempt, end);
                }
                3 => {
                    job.end_attempt(attempt, AttemptEnd::Lapsed);
                }
                4 => {
                    job.end_attempt(attempt, AttemptEnd::NotStarted);
                }
                _ => {}
            }
            if job.state == JobState::Finished && before.state != JobState::Finished {
                prop_assert_eq!(attempt, job.attempt);
            }
            if before.state == JobState::Finished {
                prop_assert_eq!(&job, &before, "a finished job never changes");
            }
            let ended = before.state == JobState::Placed && job.state != JobState::Placed;
            may_have_run += u32::from(ended && step != 4);
            prop_assert!(idempotent || may_have_run <= 1);
        }
    }
}
