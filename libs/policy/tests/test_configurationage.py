"""Guards against a configuration that counts as the newest without a confirmation."""

from skylarkmoor_policy.configurationage import ConfigurationAge


def test_nothing_is_current_before_the_first_confirmation():
    age = ConfigurationAge(1_000)
    assert age.age_ms(7) is None
    assert not age.is_current(7)


def test_a_confirmation_expires():
    age = ConfigurationAge(1_000)
    age.confirm(100)
    assert age.is_current(1_100)
    assert not age.is_current(1_101)


def test_an_older_confirmation_does_not_replace_a_newer_one():
    age = ConfigurationAge(1_000)
    age.confirm(500)
    age.confirm(200)
    assert age.age_ms(600) == 100


def test_a_renewal_is_due_later_at_gateways_of_a_higher_rank_and_at_the_maximum_age_at_last():
    age = ConfigurationAge(1_000)
    age.confirm(0)
    assert [age.renewal_at_ms(rank) for rank in (0, 1, 4, 5, 200)] == [500, 600, 900, 1_000, 1_000]
