"""Starts the processes of a demonstration, waits for them and stops them."""

import json
import os
import queue
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

__all__ = ["DemoError", "Deadline", "Processes"]

ROOT = Path(__file__).resolve().parent.parent
_STOP_S = 8.0
_TAIL_LINES = 15


class DemoError(Exception):
    """Something was not as expected."""


class Deadline:
    """Bounds every wait by the time left of the whole run.

    Parameters
    ----------
    limit_s : float
        Seconds for the whole run.
    """

    def __init__(self, limit_s: float) -> None:
        self._start_s = time.monotonic()
        self._limit_s = limit_s

    def passed_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def left_s(self, longest_s: float) -> float:
        """Return how long a wait may take, at most `longest_s`.

        Raises
        ------
        DemoError
            If the time of the whole run is over.
        """
        left_s = self._limit_s - self.passed_s()
        if left_s <= 0:
            raise DemoError(f"the demonstration took more than {self._limit_s:.0f} s")
        return min(left_s, longest_s)


class Processes:
    """Processes that are stopped together.

    Parameters
    ----------
    log_folder : Path
        Takes the standard error of each process.
    deadline : Deadline
        Bounds the waits.
    """

    def __init__(self, log_folder: Path, deadline: Deadline) -> None:
        self._log_folder = log_folder
        self._deadline = deadline
        self._started: dict[str, subprocess.Popen[str]] = {}
        self._lines: dict[str, queue.Queue[str]] = {}
        log_folder.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module arguments``."""
        with self._log_path(name).open("w") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                env=environment(),
                text=True,
            )
        self._started[name] = process
        self._lines[name] = queue.Queue()
        threading.Thread(target=_read_lines, args=(process, self._lines[name]), daemon=True).start()

    def ready(self, name: str, longest_s: float = 15.0) -> Any:
        """Return what the process says in its ready line.

        Raises
        ------
        DemoError
            If it does not say it in time.
        """
        try:
            line = self._lines[name].get(timeout=self._deadline.left_s(longest_s))
            return json.loads(line)["ready"]
        except (queue.Empty, ValueError, KeyError, TypeError) as error:
            raise DemoError(f"{name} printed no ready line: {error!r}") from error

    def pid(self, name: str) -> int:
        """Return the id of a process that was started."""
        return self._started[name].pid

    def stop(self, names: list[str]) -> list[str]:
        """Stop processes with SIGTERM and return what was not as expected.

        A process that does not end in time is killed.
        """
        faults: list[str] = []
        running = [(name, self._started[name]) for name in names if name in self._started]
        for name, process in running:
            if process.poll() is not None:
                faults.append(f"{name} had already ended with exit code {process.returncode}")
            else:
                process.terminate()
        end_s = time.monotonic() + _STOP_S
        for name, process in running:
            try:
                code = process.wait(max(0.0, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                faults.append(f"{name} did not stop in {_STOP_S:.0f} s")
            else:
                if code != 0 and not any(fault.startswith(f"{name} ") for fault in faults):
                    faults.append(f"{name} stopped with exit code {code}")
            del self._started[name]
        return faults

    def stop_all(self) -> list[str]:
        """Stop what still runs, the last started first."""
        return self.stop(list(reversed(self._started)))

    def print_log_tails(self) -> None:
        """Print the last lines that each process wrote to standard error."""
        for path in sorted(self._log_folder.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()[-_TAIL_LINES:]
            if lines:
                print(f"--- {path.stem}")
                print("\n".join(lines))

    def _log_path(self, name: str) -> Path:
        return self._log_folder / f"{name}.log"


def environment() -> dict[str, str]:
    """Return the environment in which the sources of this working copy are found."""
    sources = [str(path) for path in sorted(ROOT.glob("libs/*/src"))]
    given = os.environ.get("PYTHONPATH")
    paths = [given, *sources] if given else sources
    return os.environ | {"PYTHONPATH": os.pathsep.join(paths), "PYTHONUNBUFFERED": "1"}


def _read_lines(process: subprocess.Popen[str], lines: "queue.Queue[str]") -> None:
    assert process.stdout is not None
    with process.stdout:
        for line in process.stdout:
            lines.put(line)
    # Ends a wait for the ready line at once.
    lines.put("")
