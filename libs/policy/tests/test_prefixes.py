"""Guards the prefix index against stale and unbounded entries."""

from skylarkmoor_policy.prefixes import PrefixIndex


def test_only_contiguous_leading_blocks_count():
    index = PrefixIndex()
    index.add("u", [1, 2, 4])
    assert index.cached_tokens("u", (1, 2, 3, 4), 400) == 200


def test_evicted_blocks_do_not_count():
    index = PrefixIndex()
    index.add("u", [1, 2])
    index.remove("u", [1])
    assert index.cached_tokens("u", (1, 2), 100) == 0


def test_index_is_bounded():
    index = PrefixIndex(max_blocks=2)
    index.add("u", [1, 2, 3])
    assert index.cached_tokens("u", (1,), 100) == 0
    assert index.cached_tokens("u", (3,), 100) == 100
