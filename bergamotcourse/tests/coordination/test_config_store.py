import trio
from expression import Error

from bergamotcourse.coordination.config_rows import HEAD_KEY, read_version, record_key
from bergamotcourse.coordination.config_store import (
    Applied,
    LostRace,
    Unchanged,
    may_have_taken_effect,
    rollback,
)
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.platform import Committed
from bergamotcourse.standins.platform_store import MemoryPlatform, failed
from bergamotcourse.state.manifest import digest
from bergamotcourse.state.manifest_diff import describe_changes
from bergamotcourse.tests.configs import accept, accept_releases, make_manifest, run


class InterceptingPlatform:
    """Runs a callback once, just before or just after a transaction takes effect."""

    def __init__(self, platform, before=None, after=None):
        self.platform = platform
        self.before = before
        self.after = after

    def __getattr__(self, name):
        return getattr(self.platform, name)

    async def transact(self, writes):
        before, self.before = self.before, None
        if before:
            await before()
        result = await self.platform.transact(writes)
        after, self.after = self.after, None
        return await after(result) if after else result


def answer_lost(result):
    return Error(failed("answer lost", None))


class TestApply:
    def test_accepts_successive_reviewed_versions(self):
        async def main():
            platform = MemoryPlatform()
            await accept_releases(platform, 3)
            row = platform.table.get(record_key(ConfigVersion(3)))
            assert b'"ane"' in row.value
            content = await read_version(platform, ConfigVersion(2))
            assert content.ok.release == "r2"

        run(main)

    def test_accepting_the_same_manifest_again_writes_nothing(self):
        async def main():
            platform = MemoryPlatform()
            await accept_releases(platform, 1)
            before = platform.table.get(HEAD_KEY)
            result = await accept(platform, make_manifest("r1"), reviewed=0)
            assert result.ok == Unchanged(ConfigVersion(1))
            assert platform.table.get(HEAD_KEY) == before

        run(main)

    def test_dry_run_writes_nothing(self):
        async def main():
            platform = MemoryPlatform()
            result = await accept(platform, make_manifest(), dry_run=True)
            assert result.ok.dry_run
            assert result.ok.version == 1
            assert platform.table.objects == {}
            assert platform.table.get(HEAD_KEY).value is None

        run(main)

    def test_nonexistent_reviewed_version_is_an_error(self):
        async def main():
            result = await accept(MemoryPlatform(), make_manifest(), reviewed=7)
            assert "version 7 does not exist" in result.error.detail

        run(main)


class TestRace:
    def test_loser_of_concurrent_changes_gets_winner_and_its_changes(self):
        async def main():
            platform = MemoryPlatform()
            platform.faults.delay = 0.01
            await accept_releases(platform, 1)
            results = {}

            async def operator(who, weight):
                manifest = make_manifest("r1", weight)
                results[who] = (await accept(platform, manifest, 1, who)).ok

            async with trio.open_nursery() as nursery:
                nursery.start_soon(operator, "ane", 2.0)
                nursery.start_soon(operator, "jon", 3.0)
            (winner,) = [who for who in results if isinstance(results[who], Applied)]
            (race,) = [one for one in results.values() if isinstance(one, LostRace)]
            assert race.winner.who == winner
            assert race.winner.reason == "a reason"
            assert race.changes == results[winner].changes

        run(main)

    def test_stale_reviewed_version_is_refused_with_changes_since(self):
        async def main():
            platform = MemoryPlatform()
            await accept_releases(platform, 3)
            race = (await accept(platform, make_manifest("mine"), reviewed=1)).ok
            assert isinstance(race, LostRace)
            assert race.winner.version == 3
            words = ['~ manifest.release: "r1" -> "r3"']
            assert describe_changes(race.changes) == words

        run(main)


class TestLostAnswers:
    def test_retry_after_lost_replies_recognises_own_commit(self):
        async def main():
            platform = MemoryPlatform()
            platform.faults.lose_next_answers = 2  # of put_object and transact
            result = await accept(platform, make_manifest())
            assert isinstance(result.ok, Applied)
            assert len(platform.table.objects) == 1

        run(main)

    def test_own_commit_is_recognised_after_a_newer_version(self):
        async def main():
            platform = MemoryPlatform()

            async def accept_newer_and_lose_answer(result):
                assert isinstance(result.ok, Committed)
                assert (await accept(platform, make_manifest("r2"), 1, "jon")).is_ok()
                return answer_lost(result)

            between = InterceptingPlatform(platform, after=accept_newer_and_lose_answer)
            result = await accept(between, make_manifest("r1"))
            assert isinstance(result.ok, Applied)
            assert result.ok.version == 1

        run(main)

    def test_retry_of_lost_call_may_lose_the_race(self):
        async def main():
            platform = MemoryPlatform()
            between = InterceptingPlatform(platform)

            async def lose_call():
                async def transact(writes):
                    del platform.transact
                    await accept(platform, make_manifest("r9"), 0, "jon")
                    return answer_lost(None)

                platform.transact = transact

            between.before = lose_call
            result = await accept(between, make_manifest("r1"))
            assert result.ok.winner.who == "jon"

        run(main)

    def test_outcome_is_in_doubt_if_all_replies_are_lost(self):
        async def main():
            platform = MemoryPlatform()

            async def lose_all(result):
                platform.faults.down = True
                return answer_lost(result)

            result = await accept(
                InterceptingPlatform(platform, after=lose_all), make_manifest()
            )
            assert may_have_taken_effect(result.error)
            platform.faults.down = False
            again = await accept(platform, make_manifest())
            assert again.ok == Unchanged(ConfigVersion(1))

        run(main)

    def test_unavailable_platform_is_reported_as_no_effect(self):
        async def main():
            platform = MemoryPlatform()

            async def go_down():
                platform.faults.down = True

            between = InterceptingPlatform(platform, before=go_down)
            result = await accept(between, make_manifest())
            assert result.error.took_effect is False

        run(main)


class TestRollback:
    def test_rollback_creates_new_version_with_old_content(self):
        async def main():
            platform = MemoryPlatform()
            await accept_releases(platform, 3)
            result = await rollback(platform, ConfigVersion(1), "ane", "broken")
            assert result.ok.version == 4
            content = (await read_version(platform, ConfigVersion(4))).ok
            assert digest(content) == digest(make_manifest("r1"))

        run(main)

    def test_rollback_to_newest_version_changes_nothing(self):
        async def main():
            platform = MemoryPlatform()
            await accept_releases(platform, 2)
            result = await rollback(platform, ConfigVersion(2), "ane", "again")
            assert result.ok == Unchanged(ConfigVersion(2))

        run(main)

    def test_rollback_with_stale_reviewed_version_is_refused(self):
        async def main():
            platform = MemoryPlatform()
            await accept_releases(platform, 3)
            result = await rollback(
                platform, ConfigVersion(1), "jon", "broken", ConfigVersion(2)
            )
            assert result.ok.winner.version == 3

        run(main)
