#!/usr/bin/env python3
"""Draws a table of trials from the journal.

    scripts/journal_table.py [--since TIME] [--by day] [--site NAME] [--base NAME]

A row is a variant of scripts/run_trials.py. For each site, or each day of a site with
"--by day", it shows the mean worth, the share of requests that failed, and the worth of
the worst windows, and in brackets the number of plays. With "--base", worth is shown as
the difference from that variant, over the days and seeds that both have played, with the
standard error of the mean difference.
"""

import argparse
import collections
import json
import math
import pathlib
import re


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("--since", default="")
    parser.add_argument("--by", choices=["site", "day"], default="site")
    parser.add_argument("--site", default="")
    parser.add_argument("--base", default="")
    arguments = parser.parse_args()
    plays = list(read_plays(arguments.since, arguments.site))
    columns = sorted({column_of(play, arguments.by) for play in plays})
    variants = list(dict.fromkeys(play["variant"] for play in plays))
    print("| variant |", " | ".join(columns), "|")
    print("|---|" + "---|" * len(columns))
    for variant in variants:
        cells = []
        for column in columns:
            of_column = [play for play in plays if column_of(play, arguments.by) == column]
            cells.append(describe(of_column, variant, arguments.base))
        print(f"| {variant} |", " | ".join(cells), "|")


def read_plays(since, site):
    """Yields the plays of trials, in the order of the journal."""
    journal = pathlib.Path(__file__).resolve().parent.parent / "journal"
    for path in sorted(journal.glob("*.json")):
        if path.name < since:
            continue
        entry = json.loads(path.read_text())
        reason = re.match(r"trial ([^:]+):", entry.get("why") or "")
        if reason is None or entry["cmd"] != "run" or site not in (entry["site"] or ""):
            continue
        for day in entry["days"]:
            yield {
                "variant": reason.group(1),
                "site": entry["site"],
                "day": day["name"],
                "key": (entry["site"], day["name"], day["seed"]),
                "worth": day["G"],
                "failed": day["failed"],
                "worst": dict((name, value) for name, _, value in day["parts"]).get(
                    "worst windows", math.nan
                ),
                "broken": sorted(day["rules"]),
            }


def column_of(play, by):
    return play["site"] if by == "site" else f"{play['site']} {play['day']}"


def describe(plays, variant, base):
    own = [play for play in plays if play["variant"] == variant]
    if not own:
        return ""
    failed = mean(play["failed"] for play in own)
    worst = mean(play["worst"] for play in own)
    broken = sorted({rule for play in own for rule in play["broken"]})
    suffix = f" {failed:.4f} {worst:.3f} ({len(own)}) {' '.join(broken)}".rstrip()
    if not base or variant == base:
        return f"{mean(play['worth'] for play in own):.4f}" + suffix
    base_worths = collections.defaultdict(list)
    for play in plays:
        if play["variant"] == base:
            base_worths[play["key"]].append(play["worth"])
    differences = [
        play["worth"] - mean(base_worths[play["key"]]) for play in own if base_worths[play["key"]]
    ]
    if not differences:
        return "no pair" + suffix
    return f"{mean(differences):+.4f} ± {standard_error(differences):.4f}" + suffix


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def standard_error(values):
    if len(values) < 2:
        return math.nan
    center = mean(values)
    variance = sum((value - center) ** 2 for value in values) / (len(values) - 1)
    return math.sqrt(variance / len(values))


if __name__ == "__main__":
    main()
