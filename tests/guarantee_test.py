"""Tests that run some proofs on real processes in a short form."""

import asyncio

from tests import faults, guarantee_faults, guarantee_stop

Fault = faults.Fault


def test_planned_stops_interrupt_no_call(folder):
    report = asyncio.run(guarantee_stop.run(1.0, folder))
    assert report.violations == 0, report.details
    assert sum(report.ends.values()) > 50


def test_promises_hold_with_a_killed_daemon_and_lost_table_replies(folder):
    pair = (Fault.KILL_DAEMON, Fault.TABLE_LOSES_REPLIES)
    trial = asyncio.run(guarantee_faults.run_pair(pair, folder))
    assert trial.violations == ()
    assert trial.answered_count > 50


def test_promises_hold_with_a_frozen_engine_and_mixed_parts(folder):
    pair = (Fault.FREEZE_ENGINE, Fault.PARTS_MIXED)
    trial = asyncio.run(guarantee_faults.run_pair(pair, folder))
    assert trial.violations == ()
    assert trial.answered_count > 50
