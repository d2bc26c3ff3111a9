//! Concurrent changes of the rules in a store with outages, lost responses and delayed
//! writes, which sometimes comes back from a copy.
//!
//! The test guards against lost and repeated changes and against wrong outcomes. It
//! executes the steps of the real [`ChangeState`] and checks the outcomes against the
//! list of all records that were ever written.
//!
//! [`ChangeState`]: hyssopstair_platform::change::ChangeState

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

use support::CallOutcome;
use support::EditKind;
use support::OperatorSimulation;

/// Number of concurrent operators.
const OPERATOR_COUNT: usize = 3;

/// Number of cases, unless the variable `HYSSOPSTAIR_FUZZ_CASES` is set.
const DEFAULT_CASES: u32 = 600;

const SEED: u64 = 20;

/// A step of the simulation.
#[derive(Debug, Clone, Copy)]
enum SimulationStep {
    Start {
        operator: usize,
        kind: EditKind,
        age: usize,
    },
    Call {
        operator: usize,
        call_outcome: CallOutcome,
    },
    ExecuteDelayed {
        pick: usize,
    },
    Advance {
        millis: u64,
    },
    Restore {
        count: usize,
    },
}

/// Generates the steps, which do not depend on earlier ones.
#[derive(Debug, Clone)]
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = ();
    type Transition = SimulationStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<SimulationStep> {
        let kind = proptest::sample::select(vec![
            EditKind::AddLine,
            EditKind::ReplaceLine,
            EditKind::RemoveLine,
            EditKind::Drain,
            EditKind::Undrain,
        ]);
        let call_outcome = proptest::sample::select(vec![
            CallOutcome::Answered,
            CallOutcome::Answered,
            CallOutcome::Answered,
            CallOutcome::RequestLost,
            CallOutcome::ResponseLost,
            CallOutcome::Delayed,
            CallOutcome::Retried,
        ]);
        proptest::prop_oneof![
            2 => (0..OPERATOR_COUNT, kind, 0..4_usize)
                .prop_map(|(operator, kind, age)| SimulationStep::Start { operator, kind, age }),
            8 => (0..OPERATOR_COUNT, call_outcome)
                .prop_map(|(operator, call_outcome)| SimulationStep::Call { operator, call_outcome }),
            1 => (0..4_usize).prop_map(|pick| SimulationStep::ExecuteDelayed { pick }),
            1 => (1..4_000_u64).prop_map(|millis| SimulationStep::Advance { millis }),
            1 => (1..4_usize).prop_map(|count| SimulationStep::Restore { count }),
        ]
        .boxed()
    }

    fn apply((): (), _: &SimulationStep) {}
}

struct ChangeTest;

impl StateMachineTest for ChangeTest {
    type SystemUnderTest = OperatorSimulation;
    type Reference = StepGenerator;

    fn init_test((): &()) -> OperatorSimulation {
        OperatorSimulation::new(OPERATOR_COUNT)
    }

    fn apply(
        mut simulation: OperatorSimulation,
        (): &(),
        step: SimulationStep,
    ) -> OperatorSimulation {
        match step {
            SimulationStep::Start {
                operator,
                kind,
                age,
            } => simulation.start(operator, kind, age),
            SimulationStep::Call {
                operator,
                call_outcome,
            } => simulation.call(operator, call_outcome),
            SimulationStep::ExecuteDelayed { pick } => simulation.execute_delayed(pick),
            SimulationStep::Advance { millis } => simulation.advance(Duration::from_millis(millis)),
            SimulationStep::Restore { count } => simulation.restore(count),
        }
        simulation
    }

    fn check_invariants(simulation: &OperatorSimulation, (): &()) {
        check(simulation);
    }

    fn teardown(mut simulation: OperatorSimulation, (): ()) {
        // All delayed writes are executed before the last check.
        while simulation.has_delayed() {
            simulation.execute_delayed(0);
        }
        check(&simulation);
    }
}

fn check(simulation: &OperatorSimulation) {
    for pair in simulation.store.records.windows(2) {
        let [before, after] = pair else { continue };
        assert!(
            after.version > before.version,
            "version changed from {} to {}",
            before.version,
            after.version
        );
        simulation.check_edit(before, after);
    }
    for (id, _) in &simulation.intents {
        let write_count = simulation.store.count_writes(*id);
        assert!(
            write_count <= 1,
            "change {id:?} was written {write_count} times"
        );
    }
    for (id, outcome, last_read_era) in &simulation.outcomes {
        // A write that is under way when the store comes back from a copy may take effect
        // after its change has ended, and only a later read could tell.
        let may_resume = *last_read_era < simulation.store.era;
        let created_version = simulation.store.find_version_created_by(*id);
        match outcome {
            ChangeOutcome::Written { version } => {
                assert!(
                    created_version == Some(*version) || simulation.store.has_lost(*id, *version),
                    "{outcome:?} does not match the version in the store, {created_version:?}"
                );
            }
            ChangeOutcome::Unchanged { .. }
            | ChangeOutcome::Conflict { .. }
            | ChangeOutcome::Invalid { .. }
            | ChangeOutcome::PlatformBehind { .. }
            | ChangeOutcome::NotWritten => {
                assert!(
                    created_version.is_none() || may_resume,
                    "{outcome:?}, but the change is in the store"
                );
            }
            ChangeOutcome::MayBeWritten { .. } => {}
        }
    }
}

fn config() -> ProptestConfig {
    let cases = std::env::var("HYSSOPSTAIR_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_CASES);
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
    fn concurrent_operators_lose_no_change(sequential 20..120 => ChangeTest);
}
