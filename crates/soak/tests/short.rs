//! Runs the soak with fixed seeds against the real programs, which must have been built.

use std::path::Path;

use expect_test::expect;
use hyssopstair_soak::plan::FleetSize;
use hyssopstair_soak::plan::SoakEvent;
use hyssopstair_soak::plan::SoakPlan;
use hyssopstair_soak::program::SoakPrograms;
use hyssopstair_soak::run::SoakOptions;
use hyssopstair_soak::run::run_plan;

/// Seeds that have failed before, with the causes of the failures.
const SEEDS: &str = include_str!("../seeds.txt");

/// Executes the run of a seed, prints its report, and returns the violated invariants.
fn run_seed(seed: u64, minutes: f64, process_count: u16) -> Vec<String> {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let program = directory
        .parent()
        .expect("the temporary directory has no parent directory")
        .join("debug/hyssopstaird");
    let options = SoakOptions {
        programs: SoakPrograms {
            current: program,
            former: None,
        },
        directory: directory.join(format!("soak-{}-{seed}", std::process::id())),
    };
    let plan = SoakPlan::from_seed(
        seed,
        minutes,
        FleetSize::from_processes(process_count, None),
    );
    let report = run_plan(&plan, &options).expect("failed to execute the run");
    println!("{}", report.to_json_line());
    report.findings
}

#[test]
fn short_run_violates_no_invariant() {
    let none: Vec<String> = Vec::new();
    assert_eq!(run_seed(9, 0.35, 8), none);
}

#[test]
#[ignore = "takes half a minute for each seed"]
fn seeds_that_have_failed_violate_no_invariant() {
    let mut violations = Vec::new();
    for line in SEEDS.lines().filter(|line| !line.starts_with('#')) {
        let fields: Vec<&str> = line.splitn(4, ' ').collect();
        let [seed, minutes, process_count, _] = fields[..] else {
            panic!("line of seeds.txt does not have four fields: {line}");
        };
        let seed = seed.parse().expect("a seed in seeds.txt is not a number");
        let minutes = minutes
            .parse()
            .expect("a run time in seeds.txt is not a number");
        violations.extend(run_seed(
            seed,
            minutes,
            process_count
                .parse()
                .expect("a process count in seeds.txt is not a number"),
        ));
    }
    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn an_upgrade_replaces_half_steps_back_and_then_replaces_all() {
    let plan = SoakPlan::from_seed(9, 0.35, FleetSize::from_processes(5, None)).with_upgrade();
    let replacements: Vec<String> = plan
        .events
        .iter()
        .filter(|timed| matches!(timed.event, SoakEvent::ReplaceBuild(..)))
        .map(|timed| format!("{} ms {:?}", timed.at.as_millis(), timed.event))
        .collect();
    expect![[r#"
        4000 ms ReplaceBuild(4, Current)
        4888 ms ReplaceBuild(1, Current)
        5777 ms ReplaceBuild(4, Former)
        6666 ms ReplaceBuild(1, Former)
        7555 ms ReplaceBuild(4, Current)
        8444 ms ReplaceBuild(1, Current)
        9333 ms ReplaceBuild(2, Current)
        10222 ms ReplaceBuild(0, Current)
        11111 ms ReplaceBuild(3, Current)"#]]
    .assert_eq(&replacements.join("\n"));
}

#[test]
fn plan_of_a_seed_is_stable() {
    let plan = SoakPlan::from_seed(9, 0.35, FleetSize::from_processes(8, None));
    let events: Vec<String> = plan
        .events
        .iter()
        .map(|timed| format!("{} ms {:?}", timed.at.as_millis(), timed.event))
        .collect();
    expect![[r#"
        4000 ms Stop(3)
        4194 ms ReuseAddress(6)
        4470 ms Pause(6)
        5419 ms Stop(7)
        5863 ms CrashServer(1)
        6734 ms StoreLosesResponses
        8587 ms ReplaceServer(1)
        9691 ms ReuseAddress(7)
        9747 ms RestoreStore(4.862s, 11)
        9957 ms Stop(2)
        10091 ms Kill(3)
        10165 ms EvacuateZone(0)
        10699 ms WriteConfiguration
        10988 ms LosePower"#]]
    .assert_eq(&events.join("\n"));
}
