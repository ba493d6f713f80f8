#!/usr/bin/env python3
"""Plays the regression days of deploy/regression.toml and prints a table of the results.

    tools/regress.py --bench PROGRAM --sites FOLDER --why TEXT [--scores] [--jobs N]

Without --scores only the single days are played. Exits with status 1 if a gate failed, a rule
was broken, or a day missed a gate or was not played.
"""

import argparse
import pathlib
import re
import subprocess
import sys
import tomllib

from pairs import REPO, Play


def run_bench(args, words):
    command = [args.bench, *words, "--why", args.why, "--jobs", str(args.jobs)]
    done = subprocess.run(command, cwd=REPO, capture_output=True, text=True)
    return done.stdout + done.stderr


def play_day(args, play, seed):
    """Plays one day and returns its table row: site, day, seed, worth and problems."""
    site = str(args.sites / play["site"])
    found = Play(run_bench(args, ["run", site, play["day"], "--seed", str(seed)]))
    problems = found.broken() + found.short()
    if "worth" not in found.figures:
        problems.append("not played")
    day = pathlib.Path(play["day"]).stem
    return (pathlib.Path(play["site"]).stem, day, seed, found.figures.get("worth"), problems)


def score_site(args, site):
    text = run_bench(args, ["score", str(args.sites / site)])
    rows = re.findall(r"^(\S+) +\d+/\d+ +-?[\d.]+ +(-?[\d.]+) ", text, re.M)
    passed = "GATE passed" in text
    for day, worth in rows:
        yield (pathlib.Path(site).stem, day, "-", float(worth), [])
    yield (pathlib.Path(site).stem, "gate", "-", None, [] if passed else ["GATE failed"])


def rows(args, listed):
    for play in listed["play"]:
        for seed in play["seeds"]:
            yield play_day(args, play, seed)
    for site in listed["score"] if args.scores else []:
        yield from score_site(args, site)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--sites", required=True, type=pathlib.Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--scores", action="store_true", help="play the standard days as well")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    listed = tomllib.loads((REPO / "deploy" / "regression.toml").read_text())
    failures = 0
    print(f"{'site':22} {'day':22} {'seed':>14}  worth  wrong")
    for site, day, seed, worth, problems in rows(args, listed):
        shown = "    -" if worth is None else f"{worth:5.3f}"
        print(f"{site:22} {day:22} {seed!s:>14}  {shown}  {'; '.join(problems) or 'nothing'}", flush=True)
        failures += bool(problems)
    print(f"{failures} red")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
