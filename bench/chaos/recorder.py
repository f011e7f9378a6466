"""Writes the history of a run as JSON lines, which chaos_check reads (include/chaos/history.h)."""

import json
import threading
import time


def now_ms():
    """Returns the monotonic clock, which all processes of the machine share, in milliseconds."""
    return time.monotonic() * 1000


class Recorder:
    """Writes records to a file and keeps them in memory. Safe to use from several threads."""

    def __init__(self, path):
        self.path = path
        self.records = []
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def add(self, kind, **fields):
        """Adds a record; `kind` names the struct of history.h that the fields belong to."""
        record = {"kind": kind, **fields}
        with self._lock:
            self.records.append(record)
            self._file.write(json.dumps(record) + "\n")

    def of(self, kind):
        """Returns the records of one kind in the order in which they were added."""
        with self._lock:
            return [record for record in self.records if record["kind"] == kind]

    def close(self):
        self._file.close()
