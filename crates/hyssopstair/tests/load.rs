//! Tests the parts of `hyssopstair load` that need no fleet.

use std::time::Duration;

use expect_test::expect;
use hyssopstair::ops::load::arrivals::ArrivalProcess;
use hyssopstair::ops::load::backends::BackendReport;
use hyssopstair::ops::load::backends::RunRecord;
use hyssopstair::ops::load::backends::SpreadMeasure;
use hyssopstair::ops::load::backends::count_repeated_runs;
use hyssopstair::ops::load::backends::sum_work;
use hyssopstair::ops::load::compare::compare_reports;
use hyssopstair::ops::load::workload::parse_workload;
use serde_json::json;

const WORKLOAD: &str = "
seconds: 5
certificate: certificate.pem
services:
  - name: leerplein
    address: 127.0.0.1:4433
    requests:
      - {method: POST, path: /work/enrol, rate: 100, flows: 70}
";

fn arrivals(rate: f64, ramp_seconds: f64, until: Duration) -> Vec<Duration> {
    let mut process = ArrivalProcess::new(7, rate, ramp_seconds);
    std::iter::repeat_with(|| process.next_arrival())
        .take_while(|time| *time < until)
        .collect()
}

#[test]
fn arrivals_depend_only_on_seed_and_match_rate() {
    let first = arrivals(50.0, 0.0, Duration::from_secs(100));
    assert_eq!(first, arrivals(50.0, 0.0, Duration::from_secs(100)));
    // About 5,000 arrivals of a Poisson process: the coefficient of variation of the
    // gaps is about 1.
    let gaps: Vec<f64> = first
        .windows(2)
        .map(|pair| (pair[1] - pair[0]).as_secs_f64())
        .collect();
    let variation = SpreadMeasure::from_loads(&gaps).variation;
    let result = format!("{} arrivals, gaps vary by {variation:.2}", first.len());
    expect!["5052 arrivals, gaps vary by 1.00"].assert_eq(&result);
}

#[test]
fn arrival_rate_grows_during_ramp() {
    let times = arrivals(100.0, 4.0, Duration::from_secs(6));
    let counts = [0, 1, 2, 3, 4, 5].map(|second| {
        let arrivals = times.iter().filter(|time| time.as_secs() == second);
        arrivals.count()
    });
    expect!["[13, 36, 58, 95, 100, 93]"].assert_eq(&format!("{counts:?}"));
}

#[test]
fn invalid_workload_error_names_field() {
    let cases = [
        WORKLOAD.replace("rate: 100", "rate: 0"),
        WORKLOAD.replace("rate: 100", "speed: 100"),
        WORKLOAD.replace("seconds: 5", "seconds: 5\ntraced: 2"),
    ];
    let errors: Vec<String> = cases
        .iter()
        .map(|text| match parse_workload(text) {
            Ok(_) => "accepted".to_owned(),
            Err(error) => error.to_string().lines().next().unwrap_or("").to_owned(),
        })
        .collect();
    expect![[r#"
        field "rate" is 0, expected a number above 0
        error: line 8 column 43: unknown field `speed`, expected one of method, path, rate, flows, idempotent, deadline_millis, reconnect_seconds
        field "traced" is 2, expected a share from 0 to 1"#]].assert_eq(&errors.join("\n"));
}

#[test]
fn faults_are_parsed_as_post_or_signal() {
    let text = format!(
        "{WORKLOAD}faults:
  - {{at: 1, name: slow, post: {{url: \"http://127.0.0.1:1/behaviour\", body: \"{{}}\"}}}}
  - {{at: 2, name: dead, signal: {{kind: kill, pid_file: balancer-1.pid}}}}
"
    );
    let workload = parse_workload(&text).unwrap();
    expect![[r#"
        [
            FaultPlan {
                at: 1.0,
                name: "slow",
                action: Post {
                    url: "http://127.0.0.1:1/behaviour",
                    body: "{}",
                },
            },
            FaultPlan {
                at: 2.0,
                name: "dead",
                action: Signal {
                    kind: Kill,
                    pid_file: "balancer-1.pid",
                },
            },
        ]
    "#]]
    .assert_debug_eq(&workload.faults);
}

fn report(requests: &[&str]) -> BackendReport {
    let runs = requests.iter().map(|request| RunRecord {
        request: (*request).to_owned(),
    });
    BackendReport {
        service: "leerplein".to_owned(),
        runs: runs.collect(),
        misdelivered: 0,
        feeds: 0,
    }
}

#[test]
fn request_that_ran_on_two_backend_servers_counts_as_repeated() {
    let backends = [
        report(&["POST /enrol/1", "GET /plan/1", "POST /enrol/2"]),
        report(&["POST /enrol/1", "GET /plan/1"]),
    ];
    let is_non_idempotent = |request: &str| request.starts_with("POST");
    let repeated = count_repeated_runs(&backends, is_non_idempotent);
    let work = sum_work(&backends, is_non_idempotent);
    expect!["1 repeated, work 8"].assert_eq(&format!("{repeated} repeated, work {work}"));
}

#[test]
fn report_excludes_runs_before_the_load() {
    let before = report(&["GET /plan/1"]);
    let later = report(&["GET /plan/1", "GET /plan/2"]);
    let restarted = report(&[]);
    let new_reports = [later.since(&before), restarted.since(&before)];
    let counts = new_reports.map(|report| report.runs.len());
    expect!["[1, 0]"].assert_eq(&format!("{counts:?}"));
}

#[test]
fn compare_lists_each_number_of_both_reports() {
    let before = json!({"done": 100, "flows_broken": 0, "seconds": [{"done": 1}],
        "imbalance": [{"service": "leerplein", "requests": {"max_over_mean": 1.5}}]});
    let after = json!({"done": 90, "flows_broken": 2, "p50_millis": 3.5,
        "imbalance": [{"service": "leerplein", "requests": {"max_over_mean": 1.2}}]});
    expect![[r#"
                                                        before       after    change
        done                                           100.000      90.000   -10.0 %
        flows_broken                                     0.000       2.000         -
        imbalance leerplein requests max_over_mean       1.500       1.200   -20.0 %
        p50_millis                                           -       3.500         -"#]]
    .assert_eq(&compare_reports(&before, &after).join("\n"));
}
