#!/usr/bin/env python3
"""Plays days with several settings of a copy made by scripts/make_trial.py.

    scripts/run_trials.py DIRECTORY BENCH SITE... --days DAY,... --variants NAME,...
        [--seeds N,...] [--jobs N] [--no-cpu]

A variant is a name from the table [variants] of scripts/trials.toml, or NAME:SETTINGS
with the settings themselves. The variant "plain" has no settings. Each play leaves an
entry in the journal of this project whose reason is "trial NAME: SETTINGS", from which
scripts/journal_table.py draws tables.
"""

import argparse
import concurrent.futures
import pathlib
import re
import shutil
import subprocess
import tomllib


def main():
    project = pathlib.Path(__file__).resolve().parent.parent
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("directory", type=pathlib.Path)
    parser.add_argument("bench", type=pathlib.Path)
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--days", required=True)
    parser.add_argument("--variants", required=True)
    parser.add_argument("--seeds", default="")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--no-cpu", action="store_true")
    arguments = parser.parse_args()
    known = tomllib.loads((project / "scripts/trials.toml").read_text())["variants"]
    seeds = [["--seed", seed] for seed in arguments.seeds.split(",") if seed] or [[]]
    flags = ["--no-cpu"] if arguments.no_cpu else []
    bench = [arguments.bench.resolve()]
    for variant in arguments.variants.split(","):
        name, _, settings = variant.partition(":")
        settings = settings or known.get(name, "")
        if not settings and name != "plain":
            raise SystemExit(f"variant {name} is not in scripts/trials.toml")
        write_deploy_file(project, arguments.directory, settings)
        subprocess.run(bench + ["build"], cwd=arguments.directory, check=True, capture_output=True)
        why = ["--why", f"trial {name}: {settings}"]
        commands = [
            bench + ["run", site.resolve(), day] + seed + flags + why
            for site in arguments.sites
            for day in arguments.days.split(",")
            for seed in seeds
        ]
        play(commands, arguments.directory, arguments.jobs)
        copy_journal(arguments.directory / "journal", project / "journal")
        print(f"{name}: {len(commands)} plays", flush=True)


def write_deploy_file(project, directory, settings):
    """Passes the settings to the processes of every role."""
    text = (project / "deploy/system.toml").read_text()
    environment = f'env = {{ HYSSOPSTAIR_TUNING = "{settings}" }}'
    text = re.sub(r"^(\[roles\.\w+\])$", rf"\1\n{environment}", text, flags=re.MULTILINE)
    (directory / "deploy/system.toml").write_text(text)


def play(commands, directory, jobs):
    """Plays days side by side and prints what failed."""

    def run(command):
        return subprocess.run(command, cwd=directory, capture_output=True, text=True)

    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for command, result in zip(commands, pool.map(run, commands)):
            if result.returncode != 0 or "BROKEN" in result.stdout:
                print(*command, result.stdout[-2000:], result.stderr[-2000:], sep="\n")


def copy_journal(source, target):
    """Copies the entries that are missing, or were copied while their play went on."""
    for path in source.rglob("*"):
        copy = target / path.relative_to(source)
        if not path.is_file():
            continue
        if not copy.exists() or copy.stat().st_size < path.stat().st_size:
            copy.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(path, copy)


if __name__ == "__main__":
    main()
