"""Guards rendezvous ownership against moving more keys than the removed member owned."""

from skylarkmoor_core.hashing import rendezvous_order, rendezvous_owner


def test_removing_a_member_moves_only_its_keys():
    members = [f"host-{i}" for i in range(5)]
    before = {f"key-{i}": rendezvous_owner(f"key-{i}", members) for i in range(200)}
    after = {key: rendezvous_owner(key, members[1:]) for key in before}
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == "host-0"}


def test_owner_is_first_of_the_order():
    members = ["a", "b", "c"]
    assert rendezvous_order("key", members)[0] == rendezvous_owner("key", members)


def test_no_members_have_no_owner():
    assert rendezvous_owner("key", []) is None
