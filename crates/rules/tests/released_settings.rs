//! Settings while instances are replaced by those of another build: the platform may fill in the
//! template of either build for a process of either build.

use expect_test::expect;
use hyssopstair_rules::carry_settings::CarrySettings;

/// The templates of this build.
const TEMPLATES: [&str; 2] = [
    include_str!("../../../deploy/balancer.yaml"),
    include_str!("../../../deploy/host.yaml"),
];

/// Fields without which the former build does not start.
const REQUIRED_FIELDS: [&str; 9] = [
    "name",
    "role",
    "zone",
    "packets",
    "readiness",
    "inner_ports",
    "store",
    "max_flow_seconds",
    "grace_seconds",
];

/// The settings of a host, from the template of the former build.
const FORMER_SETTINGS: &str = r#"
name: "side-zei-c-1"
role: host
zone: "zei-c"
packets: "10.3.0.28:8172"
readiness: "10.3.0.28:8167"
metrics: "10.3.0.28:9464"
inner_ports: [7720,7735]
contacts: ["10.1.0.10:8166","10.2.0.40:8166"]
store: "10.200.1.7:8169"
max_flow_seconds: 60
grace_seconds: 6.0
server_pace: true
evacuation: true
server:
  service: "dele69a"
  address: "10.3.0.28:8360"
  outbound: "10.3.0.28:8361"
  heartbeats: "10.3.0.28:8166"
"#;

#[test]
fn settings_of_the_former_template_are_read() {
    let settings = CarrySettings::parse(FORMER_SETTINGS).expect("the settings are valid");
    let summary = format!(
        "{} {:?} {:?} {:?} {:?}",
        settings.name, settings.role, settings.zone, settings.inner_ports, settings.server
    );
    expect![[r#"side-zei-c-1 Host "zei-c" (7720, 7735) Some(ServerSettings { service: "dele69a", address: 10.3.0.28:8360, outbound: 10.3.0.28:8361, heartbeats: 10.3.0.28:8166 })"#]].assert_eq(&summary);
}

#[test]
fn fields_of_a_later_template_are_ignored() {
    let later = format!("{FORMER_SETTINGS}added_later: [1, 2]\n");
    assert_eq!(
        CarrySettings::parse(&later),
        CarrySettings::parse(FORMER_SETTINGS)
    );
}

#[test]
fn a_missing_field_is_named_by_the_error() {
    let incomplete = FORMER_SETTINGS.replace("store: \"10.200.1.7:8169\"\n", "");
    let error = CarrySettings::parse(&incomplete).expect_err("the store is required");
    assert!(error.contains("store"), "{error}");
}

#[test]
fn templates_have_the_fields_that_the_former_build_requires() {
    for template in TEMPLATES {
        for field in REQUIRED_FIELDS {
            let is_present = template
                .lines()
                .any(|line| line.starts_with(&format!("{field}:")));
            assert!(is_present, "{field} is missing from\n{template}");
        }
    }
}

// The platform leaves out a bound that an installation does not have, and with it the key.
#[test]
fn the_time_for_which_addresses_stay_unused_has_a_default() {
    let times: Vec<String> = [
        "",
        "\"\": \n",
        "\"address_reuse_seconds\": 0.5\n",
        "address_reuse_seconds: -1\n",
    ]
    .iter()
    .map(
        |line| match CarrySettings::parse(&format!("{FORMER_SETTINGS}{line}")) {
            Ok(settings) => format!("{:?}", settings.address_reuse_time()),
            Err(error) => error,
        },
    )
    .collect();
    expect![[r#"
        2s
        2s
        500ms
        max_flow_seconds, grace_seconds, address_reuse_seconds: must be at least 0 and less than 1000000"#]]
    .assert_eq(&times.join("\n"));
}
