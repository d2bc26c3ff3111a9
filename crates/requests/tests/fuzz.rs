//! Stateful fuzz test of the decisions about non-idempotent requests.
//!
//! Several hosts decide with the real [`TicketLedger`], [`RelayLog`] and
//! [`AdmissionController`]. The oracle records which requests the backend servers
//! ran and which verdicts the callers received. `HYSSOPSTAIR_FUZZ_CASES` sets the
//! number of cases.

mod model;

use std::env;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::prop_state_machine;

use model::HostFleet;

/// Number of cases if the environment sets none.
const DEFAULT_CASES: u32 = 300;

fn config() -> Config {
    let cases = env::var("HYSSOPSTAIR_FUZZ_CASES").ok();
    Config {
        cases: cases
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn requests_run_at_most_once_and_verdicts_are_true(sequential 1..120 => HostFleet);
}
