"""Guards against downloads above the shared rate, which determines the load times."""

from skylarkmoor_standins.weights_model import WeightFaults, WeightModel


def test_downloads_share_the_rate_limit():
    store = WeightModel(bytes_per_s=100, size_bytes=100, now_ms=0)
    assert not store.take(0, 10)
    assert store.wait_ms(0, 10) == 100
    assert store.take(100, 10)
    assert not store.take(100, 10)


def test_outage_stops_downloads():
    store = WeightModel(bytes_per_s=100, size_bytes=100, now_ms=0)
    store.faults = WeightFaults(outage=True, missing=("v9",))
    assert not store.take(1000, 10)
    assert (store.has_version("v1"), store.has_version("v9")) == (True, False)
