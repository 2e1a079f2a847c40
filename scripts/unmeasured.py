#!/usr/bin/env python3
"""Prints the product code that changed since the last measurement by the bench.

The newest finished score or hunt entry in journal/ names the commit that it
measured. Tests, documentation and programs that are not deployed are ignored.
Exits with status 1 if product code has changed, or if the newest entry measured
uncommitted sources.
"""
import glob
import json
import subprocess
import sys

PRODUCT = ["*.go", "go.mod", "go.sum", "deploy", ":!*_test.go", ":!internal"]
TOOLS = ["bench", "experiment", "fleet", "scale", "simulate"]


def newest():
    """Returns the newest journal entry of a finished score or hunt, or None."""
    found = None
    for path in glob.glob("journal/*.json"):
        with open(path) as file:
            entry = json.load(file)
        if entry.get("cmd") not in ("score", "hunt") or not entry.get("site") or not entry.get("head"):
            continue
        if found is None or entry["at"][1] > found["at"][1]:
            found = entry
    return found


def main():
    entry = newest()
    if entry is None:
        sys.exit("journal/ has no finished score or hunt")
    print(f"last measured: {entry['head'][:12]}, {entry['cmd']} of {entry['site']}, {entry['at'][1]}")
    if entry.get("dirty"):
        print("the measured sources were not committed")
    paths = PRODUCT + [f":!cmd/deckpulley-{tool}" for tool in TOOLS] + [":!cmd/standin-*"]
    changed = subprocess.run(
        ["git", "diff", "--stat", entry["head"], "--", *paths], check=True, capture_output=True, text=True
    ).stdout
    print(changed or "no product code has changed since", end="" if changed else "\n")
    sys.exit(1 if changed or entry.get("dirty") else 0)


if __name__ == "__main__":
    main()
