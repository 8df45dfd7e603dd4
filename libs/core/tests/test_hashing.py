"""Guards against a removed member changing the owner of keys that it did not own."""

from skylarkmoor_core.hashing import rendezvous_order, rendezvous_owner


def test_removing_a_member_changes_the_owner_of_only_its_keys():
    members = [f"host-{i}" for i in range(5)]
    before = {f"key-{i}": rendezvous_owner(f"key-{i}", members) for i in range(200)}
    after = {key: rendezvous_owner(key, members[1:]) for key in before}
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == "host-0"}


def test_owner_is_first_in_rendezvous_order():
    members = ["a", "b", "c"]
    assert rendezvous_order("key", members)[0] == rendezvous_owner("key", members)


def test_owner_is_none_without_members():
    assert rendezvous_owner("key", []) is None
