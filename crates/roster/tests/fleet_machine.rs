//! Randomized test of balancers and hosts under failures, which checks
//! invariants after each step.
//!
//! The real decision code of several processes exchanges messages over a
//! simulated network. `HYSSOPSTAIR_FUZZ_CASES` sets the number of cases and
//! `HYSSOPSTAIR_FUZZ_SEED` the seed.

#![allow(missing_docs)]

mod fleet;

use std::env;

use fleet::FleetModel;
use fleet::FleetStep;
use fleet::FleetUnderTest;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const DEFAULT_CASES: u32 = 24;
const DEFAULT_SEED: u64 = 20_260_701;
const STEP_COUNT: std::ops::Range<usize> = 10..40;

fn read_variable(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

fn proptest_config() -> Config {
    let cases = read_variable("HYSSOPSTAIR_FUZZ_CASES").map_or(DEFAULT_CASES, |count| count as u32);
    let seed = read_variable("HYSSOPSTAIR_FUZZ_SEED").unwrap_or(DEFAULT_SEED);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    }
}

impl ReferenceStateMachine for FleetModel {
    type State = Self;
    type Transition = FleetStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<FleetStep> {
        let number = 0..fleet::PROCESSES;
        prop_oneof![
            4 => (100_u64..4_000).prop_map(FleetStep::Wait),
            2 => (10_000_u64..50_000).prop_map(FleetStep::Wait),
            4 => (0..fleet::SERVICES, 0_u32..1_000)
                .prop_map(|(service, caller)| FleetStep::OpenFlow { service, caller }),
            2 => number.clone().prop_map(FleetStep::Kill),
            3 => number.clone().prop_map(FleetStep::Restart),
            2 => (number.clone(), 500_u64..60_000)
                .prop_map(|(number, millis)| FleetStep::Pause { number, millis }),
            1 => number.clone().prop_map(FleetStep::Drain),
            1 => number.clone().prop_map(FleetStep::ReuseAddress),
            1 => (0_u32..256).prop_map(FleetStep::Partition),
            2 => Just(FleetStep::Heal),
            2 => (0_u8..30).prop_map(FleetStep::SetLoss),
            1 => proptest::bool::ANY.prop_map(FleetStep::SetPlatform),
            2 => (number, proptest::bool::ANY)
                .prop_map(|(first, readable)| FleetStep::Configure { first, readable }),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &FleetStep) -> Self {
        state
    }
}

impl StateMachineTest for FleetUnderTest {
    type SystemUnderTest = Self;
    type Reference = FleetModel;

    fn init_test(_: &FleetModel) -> Self {
        Self::start()
    }

    fn apply(mut fleet: Self, _: &FleetModel, step: FleetStep) -> Self {
        fleet.apply(&step);
        fleet
    }

    fn teardown(mut fleet: Self, _: FleetModel) {
        fleet.check_recovery();
    }
}

prop_state_machine! {
    #![proptest_config(proptest_config())]

    #[test]
    fn fleet_invariants_hold_under_failures(sequential STEP_COUNT => FleetUnderTest);
}
