"""CPU time and memory of a process, read from /proc."""

import os
import pathlib
import re

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_time_s(pid):
    """Returns the CPU time of a process, user and system, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid):
    """Returns the resident set size of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024
