import random

from lacewingdrum_coordination import engine_load, engine_work_registry
from lacewingdrum_state import ids

ENGINES = tuple(ids.RunnerId(f"e{number}") for number in range(3))
STEPS = 3_000
SEED = 20_261_204


def random_work(rng: random.Random, runner_id: ids.RunnerId, writes: bool):
    limit_ms = rng.choice((200.0, 500.0, 800.0))
    loss = rng.choice((0.25, 1.0, 16.0))
    tokens = rng.randrange(1, 200_000)
    return engine_load.Work(
        runner_id, 20.0, writes, limit_ms, 300.0, loss, float(tokens), tokens
    )


def check_sums(load: engine_load.EngineLoad) -> None:
    entries = load.entries.values()
    writers = [entry.work for entry in entries if entry.work.writes]
    assert load.writers == len(writers)
    assert load.context_tokens == sum(work.context_tokens for work in writers)
    assert load.memory_tokens == sum(entry.work.memory_tokens for entry in entries)
    limits = [work.pause_limit_ms for work in writers]
    assert load.shortest_pause_ms == min(limits, default=float("inf"))
    unread = {name for name, entry in load.entries.items() if not entry.has_first_event}
    assert set(load.unread) == unread
    for limit_ms in (200.0, 500.0, 800.0):
        losses = [
            entry.work.loss
            for entry in entries
            if entry.work.writes
            and entry.has_first_event
            and entry.work.pause_limit_ms == limit_ms
        ]
        group = load.pauses.get(limit_ms)
        assert (group is not None) == bool(losses)
        if group is not None:
            assert group.writers == len(losses) and group.loss == sum(losses)


def test_sums_match_the_entries_after_random_changes():
    rng = random.Random(SEED)
    registry = engine_work_registry.EngineWorkRegistry()
    known: list[str] = []
    for step in range(STEPS):
        now_s = step * 0.01
        change = rng.random()
        if change < 0.4 or not known:
            chosen = rng.sample(ENGINES, rng.randrange(1, len(ENGINES) + 1))
            parts = tuple(
                random_work(rng, runner_id, runner_id == chosen[0])
                for runner_id in chosen
            )
            name = f"w{rng.randrange(60)}"
            started = engine_work_registry.StartedWork(
                name, ids.VmId("vm"), parts, 1_000.0
            )
            registry.start(started, now_s)
            known.append(name)
        elif change < 0.7:
            registry.record_first_event(rng.choice(known), now_s)
        elif change < 0.95:
            registry.end(known.pop(rng.randrange(len(known))))
        else:
            registry.drop_expired(now_s)
        for runner_id in ENGINES:
            check_sums(registry.load(runner_id))


def test_shared_idle_load_stays_empty():
    assert not engine_load.IDLE.entries and not engine_load.IDLE.writers
