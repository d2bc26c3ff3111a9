#!/usr/bin/env python3
"""Makes a copy of the project in which constants can be set without a build.

    scripts/make_trial.py DIRECTORY

In the copy, each numeric constant of the decisions (crates/flows/src) reads its value
from the environment variable HYSSOPSTAIR_TUNING of the process, and functions named in
scripts/trials.toml can be switched off there. The variable holds NAME=NUMBER pairs,
separated by semicolons. NAME is the path of the file below crates/flows/src without its
suffix, with dots, and the constant: balancer.search.ROUND_TIMEOUT. Durations are in
milliseconds. A switch is named in scripts/trials.toml and is on if its value is 1.

The copy is for trials: its figures are not those of the program.
"""

import pathlib
import re
import subprocess
import sys
import tomllib

DECISIONS = "crates/flows/src"

# Directories in which constants of the decisions are used.
USERS = [DECISIONS, "crates/hyssopstaird/src/carry"]

CONSTANT = re.compile(
    r"^(pub(?:\([a-z]+\))? )?const ([A-Z][A-Z0-9_]*): (Duration|f64|u8|u16|u32|u64|usize) ="
    r"\s*([^;]+);",
    re.MULTILINE,
)

TUNING_MODULE = """
use std::sync::OnceLock;
use std::time::Duration;

pub trait Tunable: Copy {
    fn from_number(number: f64) -> Self;
}

impl Tunable for Duration {
    fn from_number(number: f64) -> Self {
        Duration::from_secs_f64(number / 1000.0)
    }
}

macro_rules! tunable_numbers {
    ($($name:ty),*) => {
        $(impl Tunable for $name {
            fn from_number(number: f64) -> Self {
                number as $name
            }
        })*
    };
}

tunable_numbers!(f64, u8, u16, u32, u64, usize);

pub fn setting(name: &str) -> Option<f64> {
    static SETTINGS: OnceLock<Vec<(String, f64)>> = OnceLock::new();
    let settings = SETTINGS.get_or_init(|| {
        let text = std::env::var("HYSSOPSTAIR_TUNING").unwrap_or_default();
        text.split(';')
            .filter_map(|pair| pair.split_once('='))
            .filter_map(|(name, number)| Some((name.to_owned(), number.parse().ok()?)))
            .collect()
    });
    let found = settings.iter().find(|(known, _)| known == name)?;
    Some(found.1)
}

pub fn tuned<T: Tunable>(name: &str, default: T) -> T {
    setting(name).map_or(default, T::from_number)
}

pub fn is_on(name: &str) -> bool {
    setting(name) == Some(1.0)
}
"""


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    project = pathlib.Path(__file__).resolve().parent.parent
    trial = pathlib.Path(sys.argv[1])
    subprocess.run(["git", "clone", "--quiet", project, trial], check=True)
    for path in sorted((trial / DECISIONS).rglob("*.rs")):
        make_constants_tunable(trial, path)
    (trial / DECISIONS / "tuning.rs").write_text(TUNING_MODULE)
    library = trial / DECISIONS / "lib.rs"
    library.write_text(library.read_text() + "\npub mod tuning;\n")
    trials = tomllib.loads((project / "scripts/trials.toml").read_text())
    for name, switch in trials.get("switches", {}).items():
        insert_switch(trial, name, switch)


def make_constants_tunable(trial, path):
    """Replaces the constants of a file by functions, unless a type depends on them."""
    text = path.read_text()
    prefix = ".".join(path.relative_to(trial / DECISIONS).with_suffix("").parts)
    prefix = prefix.removesuffix(".mod")
    for match in list(CONSTANT.finditer(text)):
        visibility, name, kind, expression = match.groups()
        users = find_users(trial, path, name)
        if any(is_part_of_type(user.read_text(), name) for user in users):
            continue
        function = (
            f"#[allow(non_snake_case)]\n{visibility or ''}fn {name}() -> {kind} {{\n"
            f"    static VALUE: std::sync::OnceLock<{kind}> = std::sync::OnceLock::new();\n"
            f'    *VALUE.get_or_init(|| crate::tuning::tuned("{prefix}.{name}", {expression}))\n}}'
        )
        for user in users:
            user_text = user.read_text()
            if user == path:
                user_text = user_text.replace(match.group(0), "@CONSTANT@")
            user_text = call_constant(user_text, name)
            user.write_text(user_text.replace("@CONSTANT@", function))
        text = path.read_text()


def find_users(trial, path, name):
    imports = re.compile(rf"::{name};")
    users = [path]
    for directory in USERS:
        for other in sorted((trial / directory).rglob("*.rs")):
            if other != path and imports.search(other.read_text()):
                users.append(other)
    return users


def is_part_of_type(text, name):
    in_array = re.search(rf"(ArrayVec<[^>]*|;\s*|\[[^\]]*; ){name}\b", text)
    in_constant = re.search(rf"const [A-Z_0-9]+: [^=]+=[^;]*\b{name}\b", text)
    return bool(in_array or in_constant)


def call_constant(text, name):
    lines = []
    for line in text.splitlines(keepends=True):
        is_code = not line.lstrip().startswith(("//", "use ", "pub use "))
        lines.append(re.sub(rf"\b{name}\b(?!\()", f"{name}()", line) if is_code else line)
    return "".join(lines)


def insert_switch(trial, name, switch):
    """Inserts the statement of a switch behind the line that it names."""
    path = trial / switch["file"]
    text = path.read_text()
    if text.count(switch["behind"]) != 1:
        sys.exit(f"switch {name}: {switch['file']} does not contain its line exactly once")
    check = f'hyssopstair_flows::tuning::is_on("{name}")'
    if switch["file"].startswith(DECISIONS):
        check = f'crate::tuning::is_on("{name}")'
    statement = f"\nif {check} {{ {switch['statement']} }}\n"
    path.write_text(text.replace(switch["behind"], switch["behind"] + statement))


if __name__ == "__main__":
    main()
