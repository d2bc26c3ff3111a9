//! Several operators change the rules at once, over the real decisions, against
//! a store with outages, lost answers and late writes. The oracle is the list of
//! all records that the store ever took.

mod support;

use std::time::Duration;

use hyssopstair_platform::change::ChangeOutcome;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::strategy::BoxedStrategy;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use support::CallFate;
use support::EditKind;
use support::OperatorFleet;

/// Operators who work at the same time.
const OPERATORS: usize = 3;

/// Cases in CI; the variable `HYSSOPSTAIR_FUZZ_CASES` overrides them.
const CASES: u32 = 600;

const SEED: u64 = 20;

#[derive(Debug, Clone, Copy)]
enum FleetStep {
    Start {
        operator: usize,
        kind: EditKind,
        age: usize,
    },
    Call {
        operator: usize,
        fate: CallFate,
    },
    DeliverLate {
        pick: usize,
    },
    Wait {
        millis: u64,
    },
}

#[derive(Debug, Clone)]
struct StepSource;

impl ReferenceStateMachine for StepSource {
    type State = ();
    type Transition = FleetStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<FleetStep> {
        let kind = proptest::sample::select(vec![
            EditKind::AddLine,
            EditKind::ReplaceLine,
            EditKind::RemoveLine,
            EditKind::Drain,
            EditKind::Undrain,
        ]);
        let fate = proptest::sample::select(vec![
            CallFate::Answered,
            CallFate::Answered,
            CallFate::Answered,
            CallFate::LostBefore,
            CallFate::LostAfter,
            CallFate::Late,
            CallFate::TriedTwice,
        ]);
        proptest::prop_oneof![
            2 => (0..OPERATORS, kind, 0..4_usize)
                .prop_map(|(operator, kind, age)| FleetStep::Start { operator, kind, age }),
            8 => (0..OPERATORS, fate)
                .prop_map(|(operator, fate)| FleetStep::Call { operator, fate }),
            1 => (0..4_usize).prop_map(|pick| FleetStep::DeliverLate { pick }),
            1 => (1..4_000_u64).prop_map(|millis| FleetStep::Wait { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &FleetStep) {}
}

struct ChangeTest;

impl StateMachineTest for ChangeTest {
    type SystemUnderTest = OperatorFleet;
    type Reference = StepSource;

    fn init_test((): &()) -> OperatorFleet {
        OperatorFleet::new(OPERATORS)
    }

    fn apply(mut fleet: OperatorFleet, (): &(), step: FleetStep) -> OperatorFleet {
        match step {
            FleetStep::Start {
                operator,
                kind,
                age,
            } => fleet.start(operator, kind, age),
            FleetStep::Call { operator, fate } => fleet.call(operator, fate),
            FleetStep::DeliverLate { pick } => fleet.deliver_late(pick),
            FleetStep::Wait { millis } => fleet.wait(Duration::from_millis(millis)),
        }
        fleet
    }

    fn check_invariants(fleet: &OperatorFleet, (): &()) {
        check(fleet);
    }

    fn teardown(mut fleet: OperatorFleet, (): ()) {
        // Whatever was under way arrives in the end.
        while fleet.has_late() {
            fleet.deliver_late(0);
        }
        check(&fleet);
    }
}

fn check(fleet: &OperatorFleet) {
    for pair in fleet.store.log.windows(2) {
        let [before, after] = pair else { continue };
        assert!(
            after.version > before.version,
            "version went from {} to {}",
            before.version,
            after.version
        );
        fleet.check_edit(before, after);
    }
    for (id, _) in &fleet.intents {
        let times = fleet.store.times_applied(*id);
        assert!(times <= 1, "change {id:?} took effect {times} times");
    }
    for (id, outcome) in &fleet.outcomes {
        let applied = fleet.store.version_made_by(*id);
        match outcome {
            ChangeOutcome::Written { version } => {
                assert_eq!(applied, Some(*version), "accepted but not in the store");
            }
            ChangeOutcome::Unchanged { .. }
            | ChangeOutcome::Conflict { .. }
            | ChangeOutcome::Invalid { .. }
            | ChangeOutcome::NotWritten => {
                assert_eq!(applied, None, "{outcome:?} but in the store");
            }
            ChangeOutcome::MayBeWritten { .. } => {}
        }
    }
}

fn config() -> ProptestConfig {
    let cases = std::env::var("HYSSOPSTAIR_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(CASES);
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn racing_operators_lose_no_update(sequential 20..120 => ChangeTest);
}
