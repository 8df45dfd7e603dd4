"""Guards against wrong line fits, from which CAPACITY.md extrapolates."""

import pytest

from skylarkmoor_measure.fitting import fit_line


def test_points_on_a_line_have_no_residual():
    line = fit_line([10, 20, 40], [25.0, 45.0, 85.0])
    assert line.intercept == pytest.approx(5)
    assert line.slope == pytest.approx(2)
    assert line.residual_percent == pytest.approx(0)
    assert line.at(100) == pytest.approx(205)


def test_residual_is_the_largest_deviation_from_the_line():
    # The least-squares line is y = 1, and the middle value deviates from it by 2.
    line = fit_line([1, 2, 3], [0.0, 3.0, 0.0])
    assert line.slope == pytest.approx(0)
    assert line.residual_percent == pytest.approx(100 * 2 / 3)


def test_constant_zero_has_no_residual():
    assert fit_line([1, 2, 3], [0, 0, 0]).residual_percent == 0


def test_quadratic_growth_shows_in_the_residual():
    """Guards against a nonlinear quantity that is taken for a linear one."""
    line = fit_line([10, 100, 300], [100.0, 10_000.0, 90_000.0])
    assert line.residual_percent > 5


@pytest.mark.parametrize(("sizes", "values"), [([1, 2], [1, 2]), ([1, 2, 3], [1, 2]), ([], [])])
def test_too_few_or_unpaired_points_raise_an_error(sizes, values):
    with pytest.raises(ValueError, match="sizes"):
        fit_line(sizes, values)
