from tests.soak import checks, cut_checks

CUT = checks.RunnerCut(frozenset((0, 1)), 0.0, 10.0)
STOPPED = checks.Disruption(2, 0.0, 20.0)


def request(gateway: int, sent_s: float, status: int) -> checks.ObservedRequest:
    return checks.ObservedRequest(
        attempt_id="read-1",
        gateway=gateway,
        build="today",
        credential="",
        sent_s=sent_s,
        ended_s=sent_s + 0.1,
        limit_s=3.0,
        status=status,
        body=b"",
        receipt="",
    )


OBSERVED = [request(n % 2, 4 + n / 10, 503) for n in range(40)]
OBSERVED += [request(2, 4 + n / 10, 200) for n in range(40)]


def test_callers_of_cut_off_gateways_must_be_served_by_one_that_runs():
    assert len(cut_checks.violations([CUT], OBSERVED, [])) == 1
    elsewhere = checks.Disruption(1, 0.0, 20.0)
    assert len(cut_checks.violations([CUT], OBSERVED, [elsewhere])) == 1


def test_cut_is_not_checked_while_all_that_reach_runners_are_replaced():
    assert cut_checks.violations([CUT], OBSERVED, [STOPPED]) == []
    for span in (checks.Disruption(2, 0.0, 3.0), checks.Disruption(2, 9.0, 12.0)):
        assert cut_checks.violations([CUT], OBSERVED, [span])
