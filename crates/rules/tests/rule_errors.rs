//! Every mistake in a rule file is named with line, column and a hint.

mod support;

use expect_test::Expect;
use expect_test::expect;
use hyssopstair_rules::rule_set::RuleSet;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

use support::with_lines;

fn check(lines: &str, expected: Expect) {
    let found = match RuleSet::parse(&with_lines(lines)) {
        Ok(rules) => format!("{} services\n", rules.services.len()),
        Err(errors) => errors.iter().map(|error| format!("{error}\n")).collect(),
    };
    expected.assert_eq(&found);
}

#[test]
fn unknown_words_get_the_nearest_known_one() {
    check(
        "servce specdesk id 3 address 127.1.0.12:4433  # A\nblock all  # A\nlimit leerplain slots 1 connections 1 queue 1  # A\nweight leerplein utr-b 5  # A\n",
        expect![[r#"
            line 5, column 1: unknown rule "servce"; did you mean "service"?
            line 6, column 1: unknown rule "block"; the rules are service, zone, weight, limit, deadline, idempotent, stream, withdraw, drain, key
            line 7, column 7: service "leerplain" is not declared; did you mean "leerplein"? Otherwise add a service rule
            line 8, column 18: zone "utr-b" is not declared; did you mean "utr-a"? Otherwise add a zone rule
        "#]],
    );
}

#[test]
fn all_mistakes_of_a_file_are_returned_at_once() {
    check(
        "limit leerplein slots 0 connections 1 queue 1  # A\nlimit leerplein slot 1  # A\ndeadline leerplein soon  # A\ndrain 127.1.2.3  # A\nkey 300  # A\ndrain 127.1.2.3:7000\nkey 1 2  # A\n",
        expect![[r#"
            line 5, column 23: "0" is not a number from 1 to 65535; write a number from 1 to 65535
            line 6, column 17: "slot" stands where "slots" is expected; write slots and its value
            line 7, column 20: "soon" is not a time in milliseconds; write a time in milliseconds
            line 8, column 7: "127.1.2.3" is not an address as IP:PORT; write an address as IP:PORT
            line 9, column 5: "300" is not a key number from 0 to 255; write a key number from 0 to 255
            line 10, column 21: the comment that names who asked is missing; end the line with # and a name
            line 11, column 7: "2" is not expected here; remove it
        "#]],
    );
}

#[test]
fn a_rule_that_would_override_another_is_refused() {
    check(
        "deadline leerplein 10  # A\ndeadline leerplein 20  # B\nweight leerplein utr-a 1  # A\nweight leerplein utr-a 2  # B\nlimit leerplein slots 1 connections 1 queue 1  # A\nlimit leerplein slots 2 connections 1 queue 1  # B\n",
        expect![[r#"
            line 6, column 1: this rule is given twice for service "leerplein"; keep one of the two lines
            line 8, column 1: this rule is given twice for service "leerplein"; keep one of the two lines
            line 10, column 1: this rule is given twice for service "leerplein"; keep one of the two lines
        "#]],
    );
}

#[test]
fn services_that_share_something_are_refused() {
    check(
        "service leerplein id 3 address 127.1.0.13:4433  # A\nservice a id 1 address 127.1.0.14:4433  # A\nservice b id 5 address 127.1.0.10:4433  # A\nzone x id 1  # A\n",
        expect![[r#"
            line 5, column 1: service "leerplein" has the name of service "leerplein" on line 3; choose another name
            line 6, column 1: service "a" has the id of service "leerplein" on line 3; choose another id
            line 7, column 1: service "b" has the address of service "leerplein" on line 3; choose another address
            line 8, column 1: zone "x" clashes with zone "utr-a"; give it a name and id of its own
        "#]],
    );
}

#[test]
fn a_service_without_any_weight_is_refused() {
    check(
        "weight leerplein utr-a 0  # A\nweight leerplein ame-b 0  # A\nweight diplomakluis ame-b 0  # A\n",
        expect![[r#"
            line 3, column 1: service "leerplein" has weight 0 in every zone; write "withdraw leerplein" if it is to take nothing new
        "#]],
    );
}

#[test]
fn a_column_counts_characters_not_bytes() {
    check(
        "limit zürich slots 1 connections 1 queue 1 é  # Ø. Å\ndrain 127.1.2.3:7000 ééé",
        expect![[r#"
            line 5, column 44: "é" is not expected here; remove it
            line 6, column 22: "ééé" is not expected here; remove it
        "#]],
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_text_makes_the_parser_panic(text in "[\\x00-\\xff]{0,200}") {
        let _ = RuleSet::parse(&text);
    }

    #[test]
    fn no_mix_of_known_words_makes_the_parser_panic(
        words in proptest::collection::vec("(service|zone|weight|limit|deadline|idempotent|stream|withdraw|drain|key|id|address|slots|connections|queue|leerplein|utr-a|0|1|70000|127.0.0.1:1|#|# A|\n| |\t|é)", 0..40)
    ) {
        let text = with_lines(&words.join(" "));
        if let Err(errors) = RuleSet::parse(&text) {
            prop_assert!(errors.iter().all(|error| error.line >= 1 && error.column >= 1));
            prop_assert!(!errors.is_empty());
        }
    }
}
