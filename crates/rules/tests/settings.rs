//! Tests that errors in the settings of a daemon are reported with their position.

use expect_test::Expect;
use expect_test::expect;
use hyssopstair_rules::settings::DaemonSettings;

const BALANCER_SETTINGS: &str = "\
inner: 127.1.1.1:7000
admin: 127.1.1.1:7100
zone: utr-a
platform: [\"http://127.1.0.2:2379\"]
secret:
  file: secret.hex
role:
  balancer:
    entry: 127.1.1.1:7200
    fabric: 127.1.0.1:9000
";

fn check(text: &str, expected: Expect) {
    let result = match DaemonSettings::parse(text) {
        Ok(settings) => format!("{settings:#?}"),
        Err(error) => error,
    };
    expected.assert_eq(&result);
}

#[test]
fn balancer_settings_are_parsed() {
    check(
        BALANCER_SETTINGS,
        expect![[r#"
        DaemonSettings {
            role: Balancer(
                BalancerSettings {
                    entry: 127.1.1.1:7200,
                    fabric: 127.1.0.1:9000,
                },
            ),
            inner: 127.1.1.1:7000,
            admin: 127.1.1.1:7100,
            zone: "utr-a",
            platform: [
                "http://127.1.0.2:2379",
            ],
            contacts: [],
            secret: File(
                "secret.hex",
            ),
            traces: None,
        }"#]],
    );
}

#[test]
fn an_unknown_field_is_reported_with_its_position() {
    check(
        &BALANCER_SETTINGS.replace("zone:", "zonne:"),
        expect![[r#"
        error: line 3 column 1: unknown field `zonne`, expected one of role, inner, admin, zone, platform, contacts, secret, traces
         --> <input>:3:1
          |
        1 | inner: 127.1.1.1:7000
        2 | admin: 127.1.1.1:7100
        3 | zonne: utr-a
          | ^ unknown field `zonne`, expected one of role, inner, admin, zone, platform, contacts, secret, traces
        4 | platform: ["http://127.1.0.2:2379"]
        5 | secret:
          |"#]],
    );
}

#[test]
fn a_missing_field_is_reported_with_its_position() {
    check(
        &BALANCER_SETTINGS.replace("zone: utr-a\n", ""),
        expect![[r#"
        error: line 6 column 1: missing field `zone`
         --> <input>:6:1
          |
        4 | secret:
        5 |   file: secret.hex
        6 | role:
          | ^ missing field `zone`
        7 |   balancer:
        8 |     entry: 127.1.1.1:7200
          |"#]],
    );
    check(
        &BALANCER_SETTINGS.replace("    fabric: 127.1.0.1:9000\n", ""),
        expect![[r#"
            error: line 9 column 5: missing field `fabric`
             --> <input>:9:5
              |
            7 | role:
            8 |   balancer:
            9 |     entry: 127.1.1.1:7200
              |     ^ missing field `fabric`"#]],
    );
}

#[test]
fn an_invalid_value_is_reported_with_its_position() {
    check(
        &BALANCER_SETTINGS.replace("127.1.1.1:7100", "everywhere"),
        expect![[r#"
            error: line 2 column 8: invalid IPv4 socket address syntax
             --> <input>:2:8
              |
            1 | inner: 127.1.1.1:7000
            2 | admin: everywhere
              |        ^ invalid IPv4 socket address syntax
            3 | zone: utr-a
            4 | platform: ["http://127.1.0.2:2379"]
              |"#]],
    );
    check(
        &BALANCER_SETTINGS.replace("  balancer:", "  balancr:"),
        expect![[r#"
            error: line 8 column 3: unknown variant `balancr`, expected one of balancer, host
              --> <input>:8:3
               |
             6 |   file: secret.hex
             7 | role:
             8 |   balancr:
               |   ^ unknown variant `balancr`, expected one of balancer, host
             9 |     entry: 127.1.1.1:7200
            10 |     fabric: 127.1.0.1:9000
               |"#]],
    );
}
