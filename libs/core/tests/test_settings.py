"""Guards against errors reported one at a time and against host names taken for addresses."""

import pytest

from skylarkmoor_core.errors import SettingsError
from skylarkmoor_core.settings import collect_faults, parse_address


@pytest.mark.parametrize(
    ("text", "host", "port"),
    [
        ("127.0.0.1:80", "127.0.0.1", 80),
        ("[::1]:0", "::1", 0),
        ("10.0.0.1:65535", "10.0.0.1", 65535),
    ],
)
def test_address_round_trip_preserves_the_text(text, host, port):
    address = parse_address(text)
    assert (address.host, address.port, str(address)) == (host, port, text)


@pytest.mark.parametrize(
    "text",
    ["", "80", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:-1", "127.0.0.1:65536"],
)
def test_invalid_address_is_rejected_and_quoted_in_the_error(text):
    with pytest.raises(SettingsError) as caught:
        parse_address(text)
    assert repr(text) in str(caught.value)


def test_all_errors_are_reported_together_with_the_setting_names():
    checks = [
        ("--http-address", lambda: parse_address("here:80")),
        ("--peer-address", lambda: parse_address("127.0.0.1:81")),
        ("--log-url", lambda: parse_address("127.0.0.1")),
    ]
    with pytest.raises(ExceptionGroup) as caught:
        collect_faults(checks)
    names = [str(error).partition(":")[0] for error in caught.value.exceptions]
    assert names == ["--http-address", "--log-url"]


def test_valid_settings_raise_nothing():
    collect_faults([("--peer-address", lambda: parse_address("127.0.0.1:81"))])


def test_unexpected_exception_in_a_check_is_propagated():
    def failing_check():
        raise KeyError("x")

    with pytest.raises(KeyError):
        collect_faults([("--host", failing_check)])


@pytest.mark.parametrize("port", ["9" * 5_000, "000080", "٣"])
def test_a_port_has_at_most_five_digits(port):
    """A longer one raised ValueError, which ended the exchange of peer addresses."""
    with pytest.raises(SettingsError):
        parse_address(f"10.0.0.1:{port}")
