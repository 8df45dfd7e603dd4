"""Starts, pauses and kills the processes of a test system on loopback, and calls them over HTTP.

Used by tests and demonstrations only, and limited to the standard library. The processes of the
system itself start no others.
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

_STOP_TIMEOUT_S = 8.0
_READY_TIMEOUT_S = 20.0
_CALL_TIMEOUT_S = 15.0
_POLL_INTERVAL_S = 0.02
_TAIL_LINES = 15

# Ignores the machine's proxy settings, which must not apply to loopback.
_OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


class HarnessError(Exception):
    """A process, call or condition under test did not behave as expected."""


class Deadline:
    """Time limit of a whole run, which bounds each of its waits.

    Parameters
    ----------
    limit_s : float
        Time limit of the run in seconds.
    """

    def __init__(self, limit_s: float) -> None:
        self._start_s = time.monotonic()
        self._limit_s = limit_s

    def passed_s(self) -> float:
        """Return the seconds since the run started."""
        return time.monotonic() - self._start_s

    def left_s(self, max_wait_s: float) -> float:
        """Return the seconds left of the run, capped at `max_wait_s`.

        Raises
        ------
        HarnessError
            If the time limit of the run is exceeded.
        """
        left_s = self._limit_s - self.passed_s()
        if left_s <= 0:
            raise HarnessError(f"the run took more than {self._limit_s:.0f} s")
        return min(left_s, max_wait_s)


class Processes:
    """Starts and controls named child processes, and stops them together.

    Parameters
    ----------
    log_directory : Path
        Receives the standard error of each process; existing ``*.log`` files are removed.
    deadline : Deadline
        Time limit of the run, which bounds the waits for processes.
    """

    def __init__(self, log_directory: Path, deadline: Deadline) -> None:
        self._log_directory = log_directory
        self._deadline = deadline
        self._processes: dict[str, subprocess.Popen[str]] = {}
        self._output_lines: dict[str, queue.Queue[str]] = {}
        log_directory.mkdir(parents=True, exist_ok=True)
        for path in log_directory.glob("*.log"):
            path.unlink()

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module arguments`` with the import path of this process.

        Raises
        ------
        HarnessError
            If a process with this name is already running.
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
        self._processes[name] = process
        self._output_lines[name] = queue.Queue()
        threading.Thread(
            target=_read_lines, args=(process, self._output_lines[name]), daemon=True
        ).start()

    def ready(self, name: str, max_wait_s: float = _READY_TIMEOUT_S) -> Any:
        """Wait for the ready line of a process and return its `ready` value.

        Raises
        ------
        HarnessError
            If the process prints no valid ready line in time.
        """
        try:
            line = self._output_lines[name].get(timeout=self._deadline.left_s(max_wait_s))
            return json.loads(line)["ready"]
        except (queue.Empty, ValueError, KeyError, TypeError) as error:
            raise HarnessError(f"{name} printed no ready line: {error!r}") from error

    def pid(self, name: str) -> int:
        """Return the process id of a started process."""
        return self._processes[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether the process was started and has not ended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def exit_code(self, name: str, max_wait_s: float) -> int:
        """Wait for a process to end and return its exit code.

        Raises
        ------
        HarnessError
            If the process does not end in time.
        """
        try:
            return self._processes[name].wait(self._deadline.left_s(max_wait_s))
        except subprocess.TimeoutExpired as error:
            raise HarnessError(f"{name} did not end in {max_wait_s:.0f} s") from error

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a running process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has ended."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Pause a process with SIGSTOP; its connections stay open."""
        self.signal(name, signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Resume a paused process with SIGCONT."""
        self.signal(name, signal.SIGCONT)

    def stop(self, names: Sequence[str]) -> list[str]:
        """Stop processes with SIGTERM and return a message for each unexpected end.

        A process that does not end in time is killed. Processes that had already ended, were
        killed or returned a non-zero exit code are reported.
        """
        faults: list[str] = []
        running = [(name, self._processes.pop(name)) for name in names if name in self._processes]
        for name, process in running:
            if process.poll() is not None:
                faults.append(f"{name} had already ended with exit code {process.returncode}")
                continue
            process.terminate()
            # A paused process handles SIGTERM only once it is resumed.
            process.send_signal(signal.SIGCONT)
        deadline_s = time.monotonic() + _STOP_TIMEOUT_S
        for name, process in running:
            try:
                code = process.wait(max(0.0, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                faults.append(f"{name} did not stop in {_STOP_TIMEOUT_S:.0f} s")
            else:
                if code != 0 and not any(fault.startswith(f"{name} ") for fault in faults):
                    faults.append(f"{name} stopped with exit code {code}")
        return faults

    def stop_all(self) -> list[str]:
        """Stop all remaining processes, the last started first."""
        return self.stop(list(reversed(self._processes)))

    def kill_all(self) -> None:
        """Kill all remaining processes."""
        for name in list(self._processes):
            self.kill(name)

    def log_path(self, name: str) -> Path:
        """Return the path of the file that receives the standard error of a process."""
        return self._log_directory / f"{name}.log"

    def print_log_tails(self) -> None:
        """Print the last lines of the standard error of each process."""
        for path in sorted(self._log_directory.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()[-_TAIL_LINES:]
            if lines:
                print(f"--- {path.stem}")
                print("\n".join(lines))


def run_module(
    code: str, arguments: Sequence[str], timeout_s: float
) -> subprocess.CompletedProcess[str]:
    """Run ``python -c code arguments`` with the import path of this process and wait for its end.

    Raises
    ------
    HarnessError
        If the process does not end in time.
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


def get(url: str, timeout_s: float = _CALL_TIMEOUT_S) -> tuple[int, Any]:
    """Send a GET request and return the status and the body, decoded if it is JSON.

    Raises
    ------
    HarnessError
        If the connection fails or times out.
    """
    return _call(urllib.request.Request(url), timeout_s)


def post(
    url: str,
    body: object,
    timeout_s: float = _CALL_TIMEOUT_S,
    headers: Mapping[str, str] | None = None,
) -> tuple[int, Any]:
    """Post JSON and return the status and the body of the answer, decoded if it is JSON.

    Raises
    ------
    HarnessError
        If the connection fails or times out.
    """
    return _call(_post_request(url, body, headers or {}), timeout_s)


def stream_events(
    url: str, body: object, headers: Mapping[str, str], timeout_s: float = _CALL_TIMEOUT_S
) -> Iterator[str]:
    """Post a JSON body and yield the data of each server-sent event as it arrives.

    Parameters
    ----------
    timeout_s : float
        Maximum wait for the response head and for each event.

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


def wait_until(condition: Callable[[], bool], max_wait_s: float, what: str) -> None:
    """Poll `condition` until it is true; a `HarnessError` that it raises counts as false.

    Raises
    ------
    HarnessError
        If it is not true in time; the message contains `what` and the last error.
    """
    deadline_s = time.monotonic() + max_wait_s
    last: HarnessError | None = None
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except HarnessError as error:
            last = error
        time.sleep(_POLL_INTERVAL_S)
    raise HarnessError(f"not within {max_wait_s:.0f} s: {what}" + (f" ({last})" if last else ""))


def _environment() -> dict[str, str]:
    paths = os.pathsep.join(path for path in sys.path if path)
    return os.environ | {"PYTHONPATH": paths, "PYTHONUNBUFFERED": "1"}


def _read_lines(process: subprocess.Popen[str], lines: "queue.Queue[str]") -> None:
    assert process.stdout is not None
    with process.stdout:
        for line in process.stdout:
            lines.put(line)
    # Makes a wait for the ready line fail at once when the process has ended.
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
            return response.status, _decode_body(response.read())
    except urllib.error.HTTPError as error:
        with error:
            return error.code, _decode_body(error.read())
    except (OSError, HTTPException) as error:
        raise HarnessError(f"{url} failed: {error!r}") from error


def _decode_body(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return data.decode(errors="replace")
