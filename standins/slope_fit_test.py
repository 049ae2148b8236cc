"""Tests of the least-squares fits."""

from standins import slope_fit, slope_table


def test_fit_recovers_an_exact_line():
    measured = slope_fit.measure("x", "us", (1, 5, 9), lambda size: 3 + 2 * size)
    fit = measured.fit
    assert abs(fit.base - 3) < 1e-9 and abs(fit.slope - 2) < 1e-9
    assert abs(fit.slope_low - 2) < 1e-9 and abs(fit.slope_high - 2) < 1e-9
    assert abs(fit.r_squared - 1) < 1e-9


def test_slope_bounds_are_those_of_the_single_rounds():
    costs = iter((1, 2, 3, 2, 4, 6))
    measured = slope_fit.measure("x", "us", (1, 2, 3), lambda _: next(costs), 2)
    fit = measured.fit
    assert (fit.slope_low, fit.slope_high, fit.slope) == (1, 2, 1.5)
    assert fit.r_squared < 1


def test_table_writes_per_order_and_version():
    written = {
        measured.name: measured.fit.slope
        for measured in slope_table.table_costs((2, 4, 8), polled_s=0.0)
    }
    assert written["rows written: orders one after another"] == 2
    assert written["rows written: later versions submitted"] == 1
