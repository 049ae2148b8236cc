"""Tests of the document sync on virtual time with an in-memory network."""

import asyncio

from lacewingdrum_coordination import document_versions, documents
from lacewingdrum_state import ids
from tests import document_site, faulty_table, virtual_time

PROPAGATION_MAX_S = 5.0


async def submit(daemon, base, name):
    return await daemon.document_sync.submit(
        document_site.SERVICE, base, ids.SubmissionId(name), f"text of {name}"
    )


async def start_site(seed, count=4):
    site = document_site.Site(seed)
    for _ in range(count):
        site.add()
    await asyncio.sleep(1.5)
    return site, list(site.daemons.values())


def test_accepted_version_is_pushed_to_all_daemons():
    async def main(loop):
        site, daemons = await start_site(1)
        assert all(daemon.document_sync.ready() for daemon in daemons)
        assert isinstance(await submit(daemons[0], 0, "a"), documents.Accepted)
        await asyncio.sleep(0.1)
        assert [daemon.version for daemon in daemons] == [1] * 4
        parsed = daemons[3].document_sync.parsed(document_site.SERVICE)
        assert parsed.purpose == "text of a"
        await site.close()

    virtual_time.run(main)


def test_one_of_two_concurrent_submissions_conflicts_and_gets_the_winner():
    async def main(loop):
        site, daemons = await start_site(2)
        results = await asyncio.gather(
            submit(daemons[0], 0, "a"), submit(daemons[1], 0, "b")
        )
        kinds = sorted(type(result).__name__ for result in results)
        assert kinds == ["Accepted", "Conflict"]
        conflict = [r for r in results if isinstance(r, documents.Conflict)][0]
        assert conflict.current.version == 1
        await site.close()

    virtual_time.run(main)


def test_commit_whose_reply_was_lost_is_read_back():
    async def main(loop):
        site, daemons = await start_site(3)
        site.table.faults = faulty_table.Faults(reply_lost=1.0)
        submission = asyncio.create_task(submit(daemons[0], 0, "a"))
        await asyncio.sleep(3 * faulty_table.LATENCY_MAX_S)
        assert len(site.table.rows) == 1
        site.table.faults = faulty_table.Faults()
        # The reply to the write of the index row was lost, so the document
        # itself was not written and the operator may retry.
        assert isinstance(await submission, documents.Unavailable)
        submission = asyncio.create_task(submit(daemons[0], 0, "a"))
        await asyncio.sleep(3 * faulty_table.LATENCY_MAX_S)
        site.table.faults = faulty_table.Faults(reply_lost=1.0)
        await asyncio.sleep(2.0)
        site.table.faults = faulty_table.Faults()
        assert isinstance(await submission, documents.Accepted)
        assert isinstance(await submit(daemons[1], 0, "a"), documents.Accepted)
        await site.close()

    virtual_time.run(main)


def test_versions_propagate_by_digests_and_polls_when_pushes_are_lost():
    async def main(loop):
        site, daemons = await start_site(4)
        site.network.loss = 1.0
        await submit(daemons[0], 0, "a")
        await asyncio.sleep(PROPAGATION_MAX_S)
        assert [daemon.version for daemon in daemons] == [1] * 4
        site.table.is_down = True
        await site.kill(daemons[1].vm.vm_id)
        site.network.loss = 0.5
        new_daemon = site.add()
        await asyncio.sleep(PROPAGATION_MAX_S)
        assert new_daemon.version == 1 and new_daemon.document_sync.ready()
        await site.close()

    virtual_time.run(main)


def test_one_daemon_per_data_centre_polls_while_heartbeats_arrive():
    async def main(loop):
        site, daemons = await start_site(5, count=6)
        reads = dict.fromkeys(site.daemons, 0)
        for daemon in daemons:
            scan = daemon.link.scan

            async def counted(table, prefix, scan=scan, vm_id=daemon.vm.vm_id):
                reads[vm_id] += 1
                return await scan(table, prefix)

            daemon.link.scan = counted
        await asyncio.sleep(20.0)
        assert sorted(reads.values())[:4] == [0] * 4
        assert all(count >= 15 for count in sorted(reads.values())[4:])
        await site.close()

    virtual_time.run(main)


def test_new_daemon_in_a_table_outage_is_not_ready_before_peers_reported():
    async def main(loop):
        site, daemons = await start_site(6)
        await submit(daemons[0], 0, "a")
        await submit(daemons[0], 1, "b")
        await asyncio.sleep(1.0)
        site.table.is_down = True
        new_daemon = site.add()
        waited_s = 0.0
        while not new_daemon.document_sync.ready() and waited_s < PROPAGATION_MAX_S:
            assert new_daemon.document_sync.digests() == ()
            assert not new_daemon.document_sync.may_admit()
            await asyncio.sleep(0.1)
            waited_s += 0.1
        assert new_daemon.version == 2
        assert document_versions.PEERS_WAIT_S <= waited_s < PROPAGATION_MAX_S
        await site.close()

    virtual_time.run(main)


def test_new_daemon_that_reaches_nothing_never_becomes_ready():
    async def main(loop):
        site, daemons = await start_site(7)
        await submit(daemons[0], 0, "a")
        site.table.is_down = True
        new_daemon = site.add()
        site.network.partitioned.add(new_daemon.vm.vm_id)
        await asyncio.sleep(60.0)
        assert (
            not new_daemon.document_sync.ready()
            and not new_daemon.document_sync.may_admit()
        )
        await site.close()

    virtual_time.run(main)


def test_partitioned_daemon_stops_admitting_and_resumes():
    async def main(loop):
        site, daemons = await start_site(8)
        await submit(daemons[0], 0, "a")
        site.table.is_down = True
        await asyncio.sleep(2 * document_versions.STALE_AFTER_S)
        assert all(daemon.document_sync.may_admit() for daemon in daemons)
        site.network.partitioned.add(daemons[0].vm.vm_id)
        await asyncio.sleep(document_versions.STALE_AFTER_S + 0.1)
        assert [d.document_sync.may_admit() for d in daemons] == [
            False,
            True,
            True,
            True,
        ]
        site.network.partitioned.clear()
        # The daemon must first receive heartbeats from its peers, to learn
        # the versions accepted in the meantime.
        await asyncio.sleep(1.0)
        assert not daemons[0].document_sync.may_admit()
        await asyncio.sleep(document_versions.PEERS_WAIT_S)
        assert daemons[0].document_sync.may_admit()
        loop.freeze(30.0)
        assert not daemons[0].document_sync.may_admit()
        await site.close()

    virtual_time.run(main)


def test_version_in_newer_syntax_is_forwarded_but_not_served():
    def old_parse(text):
        if text == "text of b":
            return None, ("later syntax",)
        return document_site.parse(text)

    async def main(loop):
        site = document_site.Site(9)
        new, old = site.add(), site.add(old_parse)
        await asyncio.sleep(1.5)
        await submit(new, 0, "a")
        await submit(new, 1, "b")
        await asyncio.sleep(1.0)
        assert (new.version, old.version) == (2, 1)
        assert [digest.version for digest in old.document_sync.digests()] == [1]
        await site.kill(new.vm.vm_id)
        site.table.is_down = True
        newest = site.add()
        await asyncio.sleep(PROPAGATION_MAX_S)
        assert newest.version == 2
        await site.close()

    virtual_time.run(main)
