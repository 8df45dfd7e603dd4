"""Guards prefix affinity against caches that have changed."""

from skylarkmoor_policy.prefixes import PrefixIndex


def test_only_an_unbroken_prefix_counts():
    index = PrefixIndex()
    index.add("u", [1, 2, 4])
    assert index.cached_tokens("u", (1, 2, 3, 4), 400) == 200


def test_dropped_blocks_do_not_count():
    index = PrefixIndex()
    index.add("u", [1, 2])
    index.remove("u", [1])
    assert index.cached_tokens("u", (1, 2), 100) == 0


def test_index_is_bounded():
    index = PrefixIndex(max_blocks=2)
    index.add("u", [1, 2, 3])
    assert index.cached_tokens("u", (1,), 100) == 0
    assert index.cached_tokens("u", (3,), 100) == 100
