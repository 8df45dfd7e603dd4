"""Starts the processes of a system on loopback, breaks them and talks HTTP to them.

A development tool of tests and demonstrations, with the standard library only. It is no part of
the system, whose processes start no others.
"""

import json
import os
import queue
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator, Mapping, Sequence
from http.client import HTTPException
from pathlib import Path
from typing import Any

__all__ = [
    "Deadline",
    "HarnessError",
    "Processes",
    "get",
    "post",
    "run_module",
    "stream_events",
    "wait_until",
]

_STOP_S = 8.0
_READY_S = 20.0
_CALL_S = 15.0
_POLL_S = 0.02
_TAIL_LINES = 15

# The proxy settings of the machine do not apply to loopback.
_OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


class HarnessError(Exception):
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
        HarnessError
            If the time of the whole run is over.
        """
        left_s = self._limit_s - self.passed_s()
        if left_s <= 0:
            raise HarnessError(f"the run took more than {self._limit_s:.0f} s")
        return min(left_s, longest_s)


class Processes:
    """Processes that are stopped together.

    Parameters
    ----------
    log_folder : Path
        Takes the standard error of each process; earlier logs in it are removed.
    deadline : Deadline
        Bounds the waits.
    """

    def __init__(self, log_folder: Path, deadline: Deadline) -> None:
        self._log_folder = log_folder
        self._deadline = deadline
        self._started: dict[str, subprocess.Popen[str]] = {}
        self._lines: dict[str, queue.Queue[str]] = {}
        log_folder.mkdir(parents=True, exist_ok=True)
        for path in log_folder.glob("*.log"):
            path.unlink()

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module arguments`` with the sources of this process.

        Raises
        ------
        HarnessError
            If a process of this name runs.
        """
        if self.is_running(name):
            raise HarnessError(f"{name} runs already")
        with self.log_path(name).open("a") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                env=_environment(),
                text=True,
            )
        self._started[name] = process
        self._lines[name] = queue.Queue()
        threading.Thread(target=_read_lines, args=(process, self._lines[name]), daemon=True).start()

    def ready(self, name: str, longest_s: float = _READY_S) -> Any:
        """Return what the process says in its ready line.

        Raises
        ------
        HarnessError
            If it does not say it in time.
        """
        try:
            line = self._lines[name].get(timeout=self._deadline.left_s(longest_s))
            return json.loads(line)["ready"]
        except (queue.Empty, ValueError, KeyError, TypeError) as error:
            raise HarnessError(f"{name} printed no ready line: {error!r}") from error

    def pid(self, name: str) -> int:
        """Return the id of a process that was started."""
        return self._started[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether the process was started and has not ended."""
        process = self._started.get(name)
        return process is not None and process.poll() is None

    def exit_code(self, name: str, longest_s: float) -> int:
        """Wait until a process has ended and return its exit code.

        Raises
        ------
        HarnessError
            If it does not end in time.
        """
        try:
            return self._started[name].wait(self._deadline.left_s(longest_s))
        except subprocess.TimeoutExpired as error:
            raise HarnessError(f"{name} did not end in {longest_s:.0f} s") from error

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a running process."""
        self._started[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process without a warning and wait until it is gone."""
        process = self._started.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Pause a process as the operating system would; its connections stay open."""
        self.signal(name, signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Let a paused process go on."""
        self.signal(name, signal.SIGCONT)

    def stop(self, names: Sequence[str]) -> list[str]:
        """Stop processes with SIGTERM and return what was not as expected.

        A process that does not end in time is killed.
        """
        faults: list[str] = []
        running = [(name, self._started.pop(name)) for name in names if name in self._started]
        for name, process in running:
            if process.poll() is not None:
                faults.append(f"{name} had already ended with exit code {process.returncode}")
                continue
            process.terminate()
            # A paused process takes the signal when it goes on.
            process.send_signal(signal.SIGCONT)
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
        return faults

    def stop_all(self) -> list[str]:
        """Stop what still runs, the last started first."""
        return self.stop(list(reversed(self._started)))

    def kill_all(self) -> None:
        """Kill what still runs."""
        for name in list(self._started):
            self.kill(name)

    def log_path(self, name: str) -> Path:
        """Return the file with the standard error of a process."""
        return self._log_folder / f"{name}.log"

    def print_log_tails(self) -> None:
        """Print the last lines that each process wrote to standard error."""
        for path in sorted(self._log_folder.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()[-_TAIL_LINES:]
            if lines:
                print(f"--- {path.stem}")
                print("\n".join(lines))


def run_module(
    code: str, arguments: Sequence[str], timeout_s: float
) -> subprocess.CompletedProcess[str]:
    """Run ``python -c code arguments`` with the sources of this process to its end.

    Raises
    ------
    HarnessError
        If it does not end in time.
    """
    try:
        return subprocess.run(
            [sys.executable, "-c", code, *arguments],
            env=_environment(),
            timeout=timeout_s,
            capture_output=True,
            text=True,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        raise HarnessError(f"{' '.join(arguments)} took more than {timeout_s:.0f} s") from error


def get(url: str, timeout_s: float = _CALL_S) -> tuple[int, Any]:
    """Return the status and the body of a JSON answer.

    Raises
    ------
    HarnessError
        If there is no answer.
    """
    return _call(urllib.request.Request(url), timeout_s)


def post(
    url: str,
    body: object,
    timeout_s: float = _CALL_S,
    headers: Mapping[str, str] | None = None,
) -> tuple[int, Any]:
    """Post JSON and return the status and the body of the answer.

    Raises
    ------
    HarnessError
        If there is no answer.
    """
    return _call(_post_request(url, body, headers or {}), timeout_s)


def stream_events(
    url: str, body: object, headers: Mapping[str, str], timeout_s: float = _CALL_S
) -> Iterator[str]:
    """Post JSON and yield the data of each server-sent event as it arrives.

    Parameters
    ----------
    timeout_s : float
        Longest wait for the head, and for each event.

    Raises
    ------
    HarnessError
        If the answer is an error or the connection breaks.
    """
    try:
        with _OPENER.open(_post_request(url, body, headers), timeout=timeout_s) as response:
            for line in response:
                text = line.decode().strip()
                if text.startswith("data: "):
                    yield text.removeprefix("data: ")
    except urllib.error.HTTPError as error:
        with error:
            raise HarnessError(f"{url} answered {error.code}: {error.read().decode()}") from error
    except (OSError, HTTPException) as error:
        raise HarnessError(f"{url} failed: {error!r}") from error


def wait_until(condition: Callable[[], bool], longest_s: float, what: str) -> None:
    """Wait until `condition` holds; while it raises `HarnessError`, it does not.

    Raises
    ------
    HarnessError
        If it does not hold in time; the message names `what` and the last error.
    """
    end_s = time.monotonic() + longest_s
    last: HarnessError | None = None
    while time.monotonic() < end_s:
        try:
            if condition():
                return
        except HarnessError as error:
            last = error
        time.sleep(_POLL_S)
    raise HarnessError(f"not within {longest_s:.0f} s: {what}" + (f" ({last})" if last else ""))


def _environment() -> dict[str, str]:
    paths = os.pathsep.join(path for path in sys.path if path)
    return os.environ | {"PYTHONPATH": paths, "PYTHONUNBUFFERED": "1"}


def _read_lines(process: subprocess.Popen[str], lines: "queue.Queue[str]") -> None:
    assert process.stdout is not None
    with process.stdout:
        for line in process.stdout:
            lines.put(line)
    # Ends a wait for the ready line at once.
    lines.put("")


def _post_request(url: str, body: object, headers: Mapping[str, str]) -> urllib.request.Request:
    return urllib.request.Request(
        url,
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json", **headers},
        method="POST",
    )


def _call(request: urllib.request.Request, timeout_s: float) -> tuple[int, Any]:
    url = request.full_url
    try:
        with _OPENER.open(request, timeout=timeout_s) as response:
            return response.status, _decoded(response.read())
    except urllib.error.HTTPError as error:
        with error:
            return error.code, _decoded(error.read())
    except (OSError, HTTPException) as error:
        raise HarnessError(f"{url} failed: {error!r}") from error


def _decoded(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return data.decode(errors="replace")
