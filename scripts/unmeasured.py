#!/usr/bin/env python3
"""Prints the product code that changed since the bench last measured it.

The newest finished score or hunt of journal/ names the commit that it measured.
Tests, programs that no deployment runs, and pages do not count. Exits 1 if there
is such code, or if the newest entry measured sources that were not committed.
"""
import glob
import json
import subprocess
import sys

PRODUCT = ["*.go", "go.mod", "go.sum", "deploy", ":!*_test.go", ":!internal"]
TOOLS = ["bench", "experiment", "fleet", "scale", "simulate"]


def newest():
    """Returns the newest entry of a finished score or hunt."""
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
        sys.exit("nothing was measured")
    print(f"last measured: {entry['head'][:12]}, {entry['cmd']} of {entry['site']}, {entry['at'][1]}")
    if entry.get("dirty"):
        print("it measured sources that were not committed")
    paths = PRODUCT + [f":!cmd/deckpulley-{tool}" for tool in TOOLS] + [":!cmd/standin-*"]
    changed = subprocess.run(
        ["git", "diff", "--stat", entry["head"], "--", *paths], check=True, capture_output=True, text=True
    ).stdout
    print(changed or "no product code changed since", end="" if changed else "\n")
    sys.exit(1 if changed or entry.get("dirty") else 0)


if __name__ == "__main__":
    main()
