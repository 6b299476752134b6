"""Writes docs/design/rounds.md from the scores in journal/; run in the repository."""

import glob
import json
import statistics

HEAD = """# Rounds

Worth by day, from the entries of `score` in `journal/` (written by `python3 docs/design/rounds.py`). Disturbed is the
mean of the five days with trouble or high load. A trial of figures has them after its name. A change under 0.03 is
noise. `head` is the commit before the change measured. `bench` is old before the further customer came, new after; `time`
says whether processor time was charged.

| day and hour | bench | time | head | site | score | quiet | disturbed | broken | why |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
"""

# The first run on the bench that plays the further customer.
NEW_BENCH = "2026-12-02T19:48"



def row(entry):
    days = [day for day in entry.get("days", []) if not day["name"].startswith("fresh")]
    quiet = [day["G"] for day in days if day["slot"] == "quiet"]
    disturbed = [day["G"] for day in days if day["slot"] != "quiet"]
    if not quiet or not disturbed:
        return None
    broken = sorted({rule for day in entry["days"] for rule in day.get("rules") or {}})
    cells = [
        entry["at"][0][5:16].replace("T", " "),
        "new" if entry["at"][0] > NEW_BENCH else "old",
        "free" if "--no-cpu" in entry["argv"] else "charged",
        entry["head"][:7],
        entry["site"],
        f"{entry['score']:.3f}",
        f"{statistics.mean(quiet):.3f}",
        f"{statistics.mean(disturbed):.3f}",
        ", ".join(broken),
        entry["why"],
    ]
    return "| " + " | ".join(cells) + " |"


entries = [json.load(open(path)) for path in sorted(glob.glob("journal/*.json"))]
rows = [row(entry) for entry in entries if entry.get("cmd") == "score"]
with open("docs/design/rounds.md", "w") as page:
    page.write(HEAD + "\n".join(it for it in rows if it) + "\n")
