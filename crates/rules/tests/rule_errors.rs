//! Tests that each error in a rule file has a line, a column and a hint.

mod support;

use expect_test::Expect;
use expect_test::expect;
use hyssopstair_rules::rule_set::RuleSet;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

use support::with_lines;

fn check(lines: &str, expected: Expect) {
    let result = match RuleSet::parse(&with_lines(lines)) {
        Ok(rules) => format!("{} services\n", rules.services.len()),
        Err(errors) => errors.iter().map(|error| format!("{error}\n")).collect(),
    };
    expected.assert_eq(&result);
}

#[test]
fn the_nearest_known_word_is_suggested_for_an_unknown_one() {
    check(
        "servce specdesk id 3 address 127.1.0.12:4433  # A\nblock all  # A\nlimit leerplain slots 1 connections 1 queue 1  # A\nweight leerplein utr-b 5  # A\n",
        expect![[r#"
            line 5, column 1: unknown rule "servce"; did you mean "service"?
            line 6, column 1: unknown rule "block"; the known rules are service, zone, weight, limit, deadline, idempotent, stream, withdraw, drain, evacuate, key
            line 7, column 7: service "leerplain" is not declared; did you mean "leerplein"? Otherwise add a service rule
            line 8, column 18: zone "utr-b" is not declared; did you mean "utr-a"? Otherwise add a zone rule
        "#]],
    );
}

#[test]
fn all_errors_in_a_file_are_returned() {
    check(
        "limit leerplein slots 0 connections 1 queue 1  # A\nlimit leerplein slot 1  # A\ndeadline leerplein soon  # A\ndrain 127.1.2.3  # A\nkey 300  # A\ndrain 127.1.2.3:7000\nkey 1 2  # A\n",
        expect![[r#"
            line 5, column 23: invalid value "0"; expected a number from 1 to 65535
            line 6, column 17: unexpected word "slot"; expected "slots" and its value
            line 7, column 20: invalid value "soon"; expected a duration in milliseconds
            line 8, column 7: invalid value "127.1.2.3"; expected an address of the form IP:PORT
            line 9, column 5: invalid value "300"; expected a key number from 0 to 255
            line 10, column 21: missing comment that names who asked for the rule; end the line with # and a name
            line 11, column 7: unexpected word "2"; remove it
        "#]],
    );
}

#[test]
fn a_rule_that_would_override_another_is_rejected() {
    check(
        "deadline leerplein 10  # A\ndeadline leerplein 20  # B\nweight leerplein utr-a 1  # A\nweight leerplein utr-a 2  # B\nlimit leerplein slots 1 connections 1 queue 1  # A\nlimit leerplein slots 2 connections 1 queue 1  # B\n",
        expect![[r#"
            line 6, column 1: duplicate rule for service "leerplein"; keep only one of the two lines
            line 8, column 1: duplicate rule for service "leerplein"; keep only one of the two lines
            line 10, column 1: duplicate rule for service "leerplein"; keep only one of the two lines
        "#]],
    );
}

#[test]
fn services_with_the_same_name_id_or_address_are_rejected() {
    check(
        "service leerplein id 3 address 127.1.0.13:4433  # A\nservice a id 1 address 127.1.0.14:4433  # A\nservice b id 5 address 127.1.0.10:4433  # A\nzone x id 1  # A\n",
        expect![[r#"
            line 5, column 1: service "leerplein" has the same name as service "leerplein" on line 3; choose another name
            line 6, column 1: service "a" has the same id as service "leerplein" on line 3; choose another id
            line 7, column 1: service "b" has the same address as service "leerplein" on line 3; choose another address
            line 8, column 1: zone "x" has the same name or id as zone "utr-a"; use a unique name and a unique id
        "#]],
    );
}

#[test]
fn a_service_with_weight_0_in_all_zones_is_rejected() {
    check(
        "weight leerplein utr-a 0  # A\nweight leerplein ame-b 0  # A\nweight diplomakluis ame-b 0  # A\n",
        expect![[r#"
            line 3, column 1: service "leerplein" has weight 0 in every zone; write "withdraw leerplein" if the service must not receive new flows
        "#]],
    );
}

#[test]
fn columns_are_counted_in_characters() {
    check(
        "limit zürich slots 1 connections 1 queue 1 é  # Ø. Å\ndrain 127.1.2.3:7000 ééé",
        expect![[r#"
            line 5, column 44: unexpected word "é"; remove it
            line 6, column 22: unexpected word "ééé"; remove it
        "#]],
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_parser_does_not_panic_on_any_text(text in "[\\x00-\\xff]{0,200}") {
        let _ = RuleSet::parse(&text);
    }

    #[test]
    fn the_parser_does_not_panic_on_any_sequence_of_known_words(
        words in proptest::collection::vec("(service|zone|weight|limit|deadline|idempotent|stream|withdraw|drain|key|id|address|slots|connections|queue|leerplein|utr-a|0|1|70000|127.0.0.1:1|#|# A|\n| |\t|é)", 0..40)
    ) {
        let text = with_lines(&words.join(" "));
        if let Err(errors) = RuleSet::parse(&text) {
            prop_assert!(errors.iter().all(|error| error.line >= 1 && error.column >= 1));
            prop_assert!(!errors.is_empty());
        }
    }
}
