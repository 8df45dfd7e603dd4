"""Command-line entry point of the daemon, `skylarkmoord`."""

import asyncio
import random
import signal
import sys
from collections.abc import Callable
from typing import Any

import click
import msgspec

from skylarkmoor_clients.httpclient import parse_base_url
from skylarkmoor_core.clock import SystemClock
from skylarkmoor_core.errors import SettingsError
from skylarkmoor_core.ids import FailureDomain, HostId
from skylarkmoor_core.logs import configure_logs, part_logger
from skylarkmoor_core.settings import ENV_PREFIX, Address, collect_faults, parse_address

__all__ = ["EXIT_FORCED", "EXIT_SETTINGS", "main"]

EXIT_SETTINGS = 2
# A second signal forced the exit before all requests had finished.
EXIT_FORCED = 3

_LEVELS = ("debug", "info", "warning", "error")

_log = part_logger("main")


def _option(name: str, text: str, default: str | None = None) -> Callable[[Any], Any]:
    # Options stay plain text here and are validated together, so that all faults are reported.
    return click.option(name, default=default, show_default=True, show_envvar=True, help=text)


@click.command(context_settings={"auto_envvar_prefix": ENV_PREFIX})
@_option("--host", "Name of this host in the host list.")
@_option("--failure-domain", "Failure domain of this host.")
@_option("--http-address", "IP:PORT for callers and operators; port 0 picks a free one.")
@_option("--peer-address", "IP:PORT for other daemons; port 0 picks a free one.")
@_option("--log-url", "Base URL of the log service.")
@_option("--hosts-url", "Base URL of the host list.")
@_option("--log-level", f"One of {', '.join(_LEVELS)}.", "info")
def main(
    host: str | None,
    failure_domain: str | None,
    http_address: str | None,
    peer_address: str | None,
    log_url: str | None,
    hosts_url: str | None,
    log_level: str,
) -> None:
    """Run the skylarkmoor daemon.

    Prints {"ready": {"http": "ip:port", "peer": "ip:port"}} when it listens. The first SIGTERM
    drains the daemon, the second one stops it at once.

    Example: skylarkmoord --host entry-1 --failure-domain caerdydd
    --http-address 127.0.0.1:8080 --peer-address 127.0.0.1:8081
    --log-url http://127.0.0.1:7001 --hosts-url http://127.0.0.1:7003
    """
    try:
        collect_faults(
            [
                ("--host", lambda: _required(host)),
                ("--failure-domain", lambda: _required(failure_domain)),
                ("--http-address", lambda: parse_address(_required(http_address))),
                ("--peer-address", lambda: parse_address(_required(peer_address))),
                ("--log-url", lambda: parse_base_url(_required(log_url))),
                ("--hosts-url", lambda: parse_base_url(_required(hosts_url))),
                ("--log-level", lambda: _checked_level(log_level)),
            ]
        )
    except ExceptionGroup as group:
        for fault in group.exceptions:
            click.echo(f"skylarkmoord: {fault}", err=True)
        sys.exit(EXIT_SETTINGS)
    configure_logs(_checked_level(log_level))
    sys.exit(
        _run(
            _required(host),
            _required(failure_domain),
            parse_address(_required(http_address)),
            parse_address(_required(peer_address)),
            _required(log_url),
            _required(hosts_url),
        )
    )


def _required(value: str | None) -> str:
    if not value:
        raise SettingsError("must be set")
    return value


def _checked_level(value: str) -> str:
    if value.lower() not in _LEVELS:
        raise SettingsError(f"must be one of {', '.join(_LEVELS)}, got {value!r}")
    return value


def _run(
    host: str,
    failure_domain: str,
    http_address: Address,
    peer_address: Address,
    log_url: str,
    hosts_url: str,
) -> int:
    reactor, loop = _install_reactor()
    # Imported after the reactor is installed, because klein would install the default one.
    from skylarkmoor_daemon.daemon import Daemon, Settings

    settings = Settings(
        HostId(host),
        FailureDomain(failure_domain),
        http_address,
        peer_address,
        log_url,
        hosts_url,
    )
    daemon = Daemon(settings, reactor, SystemClock(), random.Random())
    daemon_runner = _DaemonRunner(daemon, reactor)
    reactor.callWhenRunning(daemon_runner.start)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.signal)
    reactor.run(installSignalHandlers=False)
    return daemon_runner.exit_code


def _install_reactor() -> tuple[Any, asyncio.AbstractEventLoop]:
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    install: Any = asyncioreactor.install
    install(loop)
    from twisted.internet import reactor

    return reactor, loop


class _DaemonRunner:
    """Starts a daemon, stops the reactor once the daemon exits and sets the exit code."""

    def __init__(self, daemon: Any, reactor: Any) -> None:
        self.exit_code = 0
        self._daemon = daemon
        self._reactor = reactor

    def start(self) -> None:
        """Start the daemon and print the ready line; stop the reactor if it cannot listen."""
        try:
            http, peer = self._daemon.start()
        except Exception as error:
            click.echo(f"skylarkmoord: cannot listen: {error}", err=True)
            self.exit_code = EXIT_SETTINGS
            self._reactor.stop()
            return
        self._daemon.exited.addCallback(self._on_exited).addErrback(self._on_stop_failed)
        ready = {"ready": {"http": str(http), "peer": str(peer)}}
        print(msgspec.json.encode(ready).decode(), flush=True)

    def _on_exited(self, forced: bool) -> Any:
        from twisted.internet.defer import ensureDeferred

        self.exit_code = EXIT_FORCED if forced else 0
        return ensureDeferred(self._stop())

    async def _stop(self) -> None:
        await self._daemon.stop()
        _log.info("daemon stopped", extra={"exit_code": self.exit_code})
        self._reactor.stop()

    def _on_stop_failed(self, failure: Any) -> None:
        _log.error("shutdown failed", extra={"error": failure.getTraceback()})
        self.exit_code = 1
        self._reactor.stop()


if __name__ == "__main__":
    main()
