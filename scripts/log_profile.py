#!/usr/bin/env python3
"""Draws a profile of a play from the logs of all its processes.

    scripts/log_profile.py FILE [--from SECONDS] [--until SECONDS] [--step SECONDS]

FILE is the output of a play with "--log all". A row is a span of time: how many lines of
each message were written, and the median and the ninth decile of the servers' answer
times. Processes write at most 20 lines of a message a second; for whole counts, raise
MAX_LINES_PER_SECOND and MAX_BUFFER_BYTES of carry/journal.rs in a trial copy.
"""

import argparse
import collections
import json
import math
import re

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("file")
    parser.add_argument("--from", dest="start", type=float, default=-math.inf)
    parser.add_argument("--until", type=float, default=math.inf)
    parser.add_argument("--step", type=float, default=0.2)
    arguments = parser.parse_args()
    counts = collections.defaultdict(collections.Counter)
    answer_times = collections.defaultdict(list)
    for seconds, fields in read_lines(arguments.file):
        if not arguments.start <= seconds < arguments.until:
            continue
        span = math.floor(seconds / arguments.step)
        counts[span][describe(fields)] += 1
        if "took_us" in fields:
            answer_times[span].append(fields["took_us"] / 1000)
    messages = sorted({message for span in counts.values() for message in span})
    print("| from second |", " | ".join(messages), "| answer ms, median | ninth decile |")
    print("|---|" + "---|" * (len(messages) + 2))
    for span in sorted(counts):
        cells = [str(counts[span][message]) for message in messages]
        cells += [quantile(answer_times[span], 0.5), quantile(answer_times[span], 0.9)]
        print(f"| {span * arguments.step:.1f} |", " | ".join(cells), "|")


def read_lines(path):
    """Yields the simulated time and the fields of each line of a log."""
    with open(path) as file:
        for line in file:
            match = LINE.match(line)
            if match is None:
                continue
            try:
                yield float(match.group(1)), json.loads(match.group(3))
            except ValueError:
                # Two processes have written at the same moment.
                continue


def describe(fields):
    message = fields.get("msg", "")
    reason = fields.get("reason")
    return f"{message} ({reason})" if reason else message


def quantile(values, share):
    if not values:
        return ""
    return f"{sorted(values)[int(len(values) * share)]:.0f}"


if __name__ == "__main__":
    main()
