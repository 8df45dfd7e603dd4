"""Plain HTTP calls of the demonstration, with the standard library only."""

import json
import time
import urllib.error
import urllib.request
from collections.abc import Iterator, Mapping
from typing import Any

from processes import Deadline, DemoError

__all__ = ["get", "post", "stream_chat", "wait_ready"]

_LONGEST_S = 15.0
_POLL_S = 0.1

# The proxy settings of the machine do not apply to loopback.
_OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def get(url: str, deadline: Deadline) -> tuple[int, Any]:
    """Return the status and the body of a JSON answer."""
    return _call(urllib.request.Request(url), deadline)


def post(
    url: str, body: object, deadline: Deadline, headers: Mapping[str, str] | None = None
) -> tuple[int, Any]:
    """Post JSON and return the status and the body of the answer."""
    return _call(_post_request(url, body, headers or {}), deadline)


def wait_ready(url: str, deadline: Deadline, longest_s: float) -> None:
    """Wait until `url` answers 200.

    Raises
    ------
    DemoError
        If it does not in time.
    """
    end_s = time.monotonic() + deadline.left_s(longest_s)
    status: object = None
    while time.monotonic() < end_s:
        try:
            status, _ = get(url, deadline)
        except DemoError as error:
            status = error
        if status == 200:
            return
        time.sleep(_POLL_S)
    raise DemoError(f"{url} was not ready in time; its last answer was {status}")


def stream_chat(
    url: str, body: object, deadline: Deadline, headers: Mapping[str, str]
) -> Iterator[str]:
    """Yield the pieces of a streamed chat completion as they arrive.

    Raises
    ------
    DemoError
        If the answer is an error or ends without ``[DONE]``.
    """
    request = _post_request(url, body, headers)
    try:
        with _OPENER.open(request, timeout=deadline.left_s(_LONGEST_S)) as response:
            for line in response:
                text = line.decode().strip()
                if text == "data: [DONE]":
                    return
                if text.startswith("data: "):
                    yield _piece(json.loads(text.removeprefix("data: ")))
                deadline.left_s(_LONGEST_S)
    except urllib.error.HTTPError as error:
        with error:
            raise DemoError(f"{url} answered {error.code}: {error.read().decode()}") from error
    except OSError as error:
        raise DemoError(f"{url} failed: {error!r}") from error
    raise DemoError(f"the stream of {url} ended without [DONE]")


def _piece(event: Any) -> str:
    if "error" in event:
        raise DemoError(f"the stream ended with the error {event['error']}")
    choices = event.get("choices") or [{}]
    return str(choices[0].get("delta", {}).get("content") or "")


def _post_request(url: str, body: object, headers: Mapping[str, str]) -> urllib.request.Request:
    return urllib.request.Request(
        url,
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json", **headers},
        method="POST",
    )


def _call(request: urllib.request.Request, deadline: Deadline) -> tuple[int, Any]:
    url = request.full_url
    try:
        with _OPENER.open(request, timeout=deadline.left_s(_LONGEST_S)) as response:
            return response.status, _decoded(response.read())
    except urllib.error.HTTPError as error:
        with error:
            return error.code, _decoded(error.read())
    except OSError as error:
        raise DemoError(f"{url} failed: {error!r}") from error


def _decoded(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return data.decode(errors="replace")
