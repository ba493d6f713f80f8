#!/usr/bin/env python3
"""Plays the same days under several policies and compares the results in pairs.

    tools/pairs.py --bench PROGRAM --site FILE --days DAY,... --seeds N[-M] \
        --why TEXT POLICY.toml [POLICY.toml ...]

The other policies are compared with the first one. `shipped` selects the default policy,
`NAME=REPO` the build in another repository folder. Each policy is played in a scratch copy
of this repository's deploy files and release build, so build the programs first. For each
policy the output shows the mean of each figure, its mean difference with the 95 % confidence
interval and the number of pairs, and the days on which a rule was broken. The journal entries
of all plays are copied to this repository; their outputs stay in the scratch folder.
"""

import argparse
import concurrent.futures
import math
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
import tempfile

REPO = pathlib.Path(__file__).resolve().parent.parent
POLICY_VARIABLE = "YUCCALINK_POLICY"
FIGURES = ("worth", "whole day", "worst windows", "worst class")
# 97.5 % quantile of Student's t distribution by degrees of freedom. An entry also serves the
# numbers of degrees below it; above the last entry the normal quantile 1.96 is used.
T_QUANTILES = {1: 12.7, 2: 4.3, 3: 3.18, 4: 2.78, 5: 2.57, 7: 2.36, 10: 2.23, 15: 2.13, 20: 2.09, 30: 2.04}


class Play:
    """The figures of one day under one policy, parsed from the report of the bench."""

    def __init__(self, text):
        self.text = text
        row = re.search(r"^worth (-?[\d.]+) = (.*)$", text, re.M)
        self.figures = {}
        if row:
            self.figures["worth"] = float(row[1])
            for name, value in re.findall(r"(whole day|worst windows|worst class) (-?[\d.]+)", row[2]):
                self.figures[name] = float(value)
        for name, worth in re.findall(r"^(\S+) +\d+ +\d+ +\d+ +\d+ +\d+ +\d+ +(-?[\d.]+) +[\d.]+ +[\d.]+$", text, re.M):
            if not re.fullmatch(r"[\d.]+", name):
                self.figures.setdefault(name, float(worth))
        self.thrown_away = self.number(r"([\d.]+) core-seconds of work thrown away")
        self.over_target = self.number(r"for [\d.]+ s in all, ([\d.]+) s of it by others")
        if self.figures:
            self.figures["thrown away, core-s"] = self.thrown_away
            self.figures["over target, s"] = self.over_target

    def number(self, pattern):
        found = re.search(pattern, self.text)
        return float(found[1]) if found else 0.0

    def short(self):
        """Returns the lines on gates that the day missed without breaking a rule."""
        return re.findall(r"^short of the gate: .*$", self.text, re.M)

    def broken(self):
        return re.findall(r"^.*(?:BROKEN|broken rule|GATE failed|breaks|FAULT).*$", self.text, re.M)[:3]


def create_scratch_copy(folder, policy):
    """Copies what the bench needs to `folder` and sets the policy in the deploy file."""
    repo = REPO
    if "=" in policy:
        name, path = policy.split("=", 1)
        repo, policy = pathlib.Path(path), "shipped"
    else:
        name = pathlib.Path(policy).stem
    copy = folder / name
    copy.mkdir()
    for part in ("deploy", "Cargo.toml", "Cargo.lock", "crates", "platform"):
        source = repo / part
        copier = shutil.copytree if source.is_dir() else shutil.copy
        copier(source, copy / part)
    programs = copy / "target" / "release"
    programs.mkdir(parents=True)
    shutil.copy(repo / "target" / "release" / "yuccalinkd", programs)
    system = copy / "deploy" / "system.toml"
    text = re.sub(r'^build = .*$', 'build = "true"', system.read_text(), flags=re.M)
    if policy != "shipped":
        shutil.copy(policy, copy / "deploy" / "policy.toml")
        text += f'env = {{ {POLICY_VARIABLE} = "deploy/policy.toml" }}\n'
    system.write_text(text)
    quiet = {"cwd": copy, "check": True, "stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL}
    (copy / ".gitignore").write_text("/target\n")
    subprocess.run(["git", "init", "-q"], **quiet)
    subprocess.run(["git", "add", "-A"], **quiet)
    author = ["-c", "user.name=trial", "-c", "user.email=trial@localhost"]
    subprocess.run(["git", *author, "commit", "-q", "-m", "A scratch copy for trials"], **quiet)
    return name, copy


def play(args, name, copy, day, seed):
    command = [args.bench, "run", args.site, day, "--why", f"{args.why} (trial of policy {name})"]
    if seed is not None:
        command += ["--seed", str(seed)]
    if not args.cpu:
        command += ["--no-cpu"]
    if args.small:
        command += ["--small"]
    done = subprocess.run(command, cwd=copy, capture_output=True, text=True)
    text = done.stdout + done.stderr
    (copy.parent / f"{name}-{day.replace('/', '_')}-{seed}.out").write_text(text)
    return Play(text)


def confidence_interval(differences):
    """Returns the mean and the half-width of its 95 % confidence interval."""
    mean = statistics.fmean(differences)
    if len(differences) < 2:
        return mean, math.inf
    freedom = len(differences) - 1
    factor = next((t for limit, t in T_QUANTILES.items() if freedom <= limit), 1.96)
    return mean, factor * statistics.stdev(differences) / math.sqrt(len(differences))


def compare(base, other):
    """Formats the mean differences of all figures that both policies have."""
    names = list(FIGURES)
    for p in other:
        names += [name for name in p.figures if name not in names]
    parts = []
    for name in names:
        pairs = [(b.figures[name], o.figures[name]) for b, o in zip(base, other)
                 if name in b.figures and name in o.figures]
        if not pairs:
            continue
        mean, half_width = confidence_interval([o - b for b, o in pairs])
        digits = 1 if "," in name else 4
        parts.append(f"  {name:24} {statistics.fmean(o for _, o in pairs):8.{digits}f}"
                     f"  {mean:+.{digits}f} +- {half_width:.{digits}f}  ({len(pairs)} pairs)")
    return "\n".join(parts)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", required=True, help="N or N-M")
    parser.add_argument("--why", required=True)
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--small", action="store_true", help="play the small variants of large days")
    parser.add_argument("--cpu", action="store_true", help="account processor time")
    parser.add_argument("--keep", help="folder for outputs")
    parser.add_argument("policies", nargs="+")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    days = [(day, seed) for day in args.days.split(",") for seed in seeds]
    folder = pathlib.Path(args.keep or tempfile.mkdtemp(prefix="pairs-"))
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        sys.exit(f"{folder} is not empty; name a new folder with --keep")
    copies = [create_scratch_copy(folder, policy) for policy in args.policies]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        plays = {name: [pool.submit(play, args, name, copy, day, seed) for day, seed in days]
                 for name, copy in copies}
        plays = {name: [one.result() for one in results] for name, results in plays.items()}
    for name, copy in copies:
        if (copy / "journal").is_dir():
            shutil.copytree(copy / "journal", REPO / "journal", dirs_exist_ok=True)
    base_name = copies[0][0]
    for name, results in plays.items():
        failed = [day for day, p in zip(days, results) if not p.figures]
        broken = [(day, line) for day, p in zip(days, results) for line in p.broken()]
        against = "itself" if name == base_name else base_name
        print(f"{name} against {against}, {pathlib.Path(args.site).stem}:")
        print(compare(plays[base_name], results))
        short = [(day, line) for day, p in zip(days, results) for line in p.short()]
        print(f"  short: {len(short)} of {len(days)} {short}")
        print(f"  broken rules: {broken or 'none'}; not played: {failed or 'none'}", flush=True)
    print(f"outputs in {folder}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
