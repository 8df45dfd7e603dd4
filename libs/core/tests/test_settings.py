"""Guards settings against reporting one fault at a time and against host names."""

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
def test_address_is_read_and_written_alike(text, host, port):
    address = parse_address(text)
    assert (address.host, address.port, str(address)) == (host, port, text)


@pytest.mark.parametrize(
    "text",
    ["", "80", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:-1", "127.0.0.1:65536"],
)
def test_text_that_is_no_address_is_refused_and_shown(text):
    with pytest.raises(SettingsError) as caught:
        parse_address(text)
    assert repr(text) in str(caught.value)


def test_all_faults_are_reported_at_once_with_their_names():
    checks = [
        ("--http-address", lambda: parse_address("here:80")),
        ("--peer-address", lambda: parse_address("127.0.0.1:81")),
        ("--log-url", lambda: parse_address("127.0.0.1")),
    ]
    with pytest.raises(ExceptionGroup) as caught:
        collect_faults(checks)
    names = [str(fault).partition(":")[0] for fault in caught.value.exceptions]
    assert names == ["--http-address", "--log-url"]


def test_valid_settings_raise_nothing():
    collect_faults([("--peer-address", lambda: parse_address("127.0.0.1:81"))])


def test_fault_in_a_check_itself_is_not_taken_for_a_setting():
    def broken():
        raise KeyError("x")

    with pytest.raises(KeyError):
        collect_faults([("--host", broken)])
