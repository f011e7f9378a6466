"""The JSON report of a bench and the statistics in it."""

import json
import os
import pathlib
import platform
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]


def row(name, unit, value, target=None, met=None, baselines=None):
    """Returns one row. `target` is text such as "<=2"; `met` is None if there is no target."""
    result = {"name": name, "unit": unit, "value": value}
    if target is not None:
        result.update({"target": target, "met": met})
    if baselines:
        result["baselines"] = baselines
    return result


def at_most(name, unit, value, limit, baselines=None):
    """Returns a row whose target is that the value does not exceed the limit."""
    return row(name, unit, value, f"<={limit}", value <= limit, baselines)


def machine():
    """Returns a description of the machine that the figures depend on."""
    model = "unknown processor"
    for line in pathlib.Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.split(":", 1)[1].strip()
            break
    return f"{os.cpu_count()} x {model}, Linux {platform.release()}"


def commit():
    """Returns the commit of the worktree, with "-dirty" if tracked files have changed."""
    def git(*arguments):
        return subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True,
                              check=False)
    name = git("rev-parse", "--short", "HEAD").stdout.strip()
    return name + ("-dirty" if git("diff", "--quiet", "HEAD").returncode else "")


def write(bench, seed, started, rows, out):
    """Writes the report to the file `out`, or to standard output if it is None.

    `started` is the monotonic time at which the bench began.
    """
    text = json.dumps({"bench": bench, "seed": seed, "commit": commit(), "machine": machine(),
                       "seconds": round(time.monotonic() - started, 1), "rows": rows}, indent=1)
    if out:
        pathlib.Path(out).write_text(text + "\n")
    else:
        sys.stdout.write(text + "\n")


def percentile(values, share):
    """Returns the sorted value at index `share` * n of n values, or NaN if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def fit_line(points):
    """Returns slope, intercept and r2 of the least-squares line through (x, y) pairs."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sxx = sum((x - mean_x) ** 2 for x, _ in points)
    sxy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    syy = sum((y - mean_y) ** 2 for _, y in points)
    slope = sxy / sxx
    return slope, mean_y - slope * mean_x, (sxy * sxy / (sxx * syy)) if syy else 1.0
