#!/usr/bin/env python3
"""Writes a random variant of one of the bench's site files, a deployment that no setting was tuned for.

Usage: vary-site.py SITE.toml OUT-FOLDER SEED

Sizes, delays, disks, the engines' speeds, the distance between regions (about 5 to 80 ms where a site has 35)
and the replicas of each zone are drawn from the seed. Every kind of trouble that the bench lists is added to the
site's own, so that `fleetbench hunt OUT-FOLDER/NAME.toml` mixes them. Use the variant for hunts only: its marks are
copied from the site and have no meaning for the variant. Do not commit it. The draws changed on 2026-12-02: the
seeds 11 to 14 give other variants than before.
"""
import pathlib
import random
import re
import shutil
import sys

# Troubles added to the site's own, with the fields that each kind requires.
MORE = """
  { kind = "retry_abuse", share = 0.3, x = 2, for_s = 6.0 },
  { kind = "give_up", share = 0.3, x = 300, for_s = 6.0 },
  { kind = "srv_slow", share = 0.2, x = 4.0, for_s = 6.0 },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 6.0, how = "errors" },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 6.0, how = "hang" },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 6.0, how = "reset" },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 6.0, how = "mute" },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 6.0, how = "busy" },
  { kind = "srv_cut", share = 0.2, for_s = 6.0, how = "fronts" },
  { kind = "srv_cut", share = 0.2, for_s = 6.0, how = "reset" },
  { kind = "replace_with_reuse", share = 0.2, how = "drain" },
  { kind = "replace_with_reuse", share = 0.2, how = "dark" },
  { kind = "replace_with_reuse", share = 0.2 },
  { kind = "scale_out", share = 0.3, gap_s = 1.0 },
  { kind = "node_slow", share = 0.2, x = 5.0, for_s = 5.0 },
  { kind = "herd_kill", share = 0.6 },
  { kind = "herd_kill", share = 0.6, how = "power", for_s = 2.0 },
  { kind = "herd_kill", on = "core" },
  { kind = "replace_core", x = 1.0 },
  { kind = "replace_core", x = 1.0, how = "planned" },
  { kind = "seed_turnover" },
  { kind = "disk_slow", count = 1, x = 30.0, for_s = 5.0 },
  { kind = "disk_full", count = 1, for_s = 5.0 },
  { kind = "disk_stall", count = 1, for_s = 5.0 },
  { kind = "hup", share = 0.4, gap_s = 0.5 },
  { kind = "reset_conns", share = 0.2, x = 0.5 },
  { kind = "zone_loss", for_s = 5.0 },
  { kind = "zone_cut", for_s = 5.0 },
  { kind = "node_cut", share = 0.2, for_s = 5.0 },
  { kind = "node_cut", share = 0.2, for_s = 5.0, how = "all" },
  { kind = "node_cut", share = 0.2, for_s = 5.0, how = "servers" },
  { kind = "core_cut", count = 1, for_s = 5.0, how = "one_way" },
  { kind = "core_cut", count = 1, for_s = 5.0, how = "seeds" },
  { kind = "core_cut", count = 1, for_s = 5.0, how = "both" },
  { kind = "core_cut", count = 1, for_s = 5.0, how = "lure" },
  { kind = "region_cut", for_s = 5.0, how = "one_way" },
  { kind = "roll_term", share = 0.5, gap_s = 1.0, how = "remove" },
  { kind = "evacuate", for_s = 6.0 },
  { kind = "cold_return", for_s = 4.0, how = "dark" },
  { kind = "clock_step", share = 0.4, x = 3000.0, for_s = 5.0, how = "ahead" },
"""


def scaled(text, name, factor):
    """Multiplies every value of a field by a factor."""
    return re.sub(
        rf"\b{name} = ([0-9.]+)",
        lambda found: f"{name} = {type_of(found[1])(float(found[1]) * factor)}",
        text,
    )


def type_of(number):
    return float if "." in number else int


def uneven(servers, draw):
    """Scales the number of replicas of each zone by a random factor, to at least one."""
    return re.sub(
        r"count = (\d+)",
        lambda found: f"count = {max(1, round(int(found[1]) * draw.choice([0.7, 1.0, 1.4])))}",
        servers,
    )


def main():
    source, folder, seed = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]), int(sys.argv[3])
    draw = random.Random(seed)
    text = source.read_text()
    name = f"{source.stem}-v{seed}"
    text = text.replace(f'name = "{source.stem}"', f'name = "{name}"', 1)
    text = scaled(text, "cross_region_ms", draw.choice([0.15, 0.6, 1.5, 2.3]))
    text = scaled(text, "cross_zone_ms", draw.choice([0.5, 1.0, 2.0]))
    text = scaled(text, "sync_ms", draw.choice([0.5, 1.0, 3.0]))
    text = scaled(text, "lag_ms", draw.choice([0.5, 1.0, 1.5]))
    text = scaled(text, "cpu_share", draw.choice([0.7, 1.0, 1.5]))
    text = scaled(text, "per_s", draw.choice([0.6, 1.0, 1.3]))
    text = scaled(text, "prefill_tokens_per_ms", draw.choice([0.5, 0.8, 1.3]))
    text = scaled(text, "first_ms", draw.choice([0.5, 1.0, 2.0]))
    text = re.sub(r"servers = \[[^]]*\]", lambda found: uneven(found[0], draw), text)
    text = text.replace("troubles = [", "troubles = [" + MORE, 1)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.toml").write_text(text)
    for beside in ("wire.json", "CUT"):
        shutil.copy(source.parent / beside, folder / beside)
    print(folder / f"{name}.toml")


if __name__ == "__main__":
    main()
