"""Tests of the policy under load and faults, in a fleet of entries and agents."""

from dataclasses import replace

import trio

from bergamotcourse.coordination.submissions import Completed, Refused
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.manifest import Manifest, Policy, Service, Team, UpstreamRule
from bergamotcourse.state.submission import Submission, SubmissionKind, TaskRequest
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import (
    SERVICE,
    FleetShape,
    VirtualFleet,
    default_manifest,
)

SHAPE = FleetShape(entries=3, agents=6, slots=4)


def run_fleet(main, shape=SHAPE, manifest=None, seed=1):
    async def run():
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, seed, shape)
            await fleet.start(manifest)
            await main(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(run, seed)


def make_manifest(response_weight=0.9, **limits):
    team = Team(name="getxo", services=[SERVICE], **limits)
    return Manifest(
        release="virtual",
        services=[Service(name=SERVICE)],
        upstreams=[UpstreamRule(name="all", services=[SERVICE])],
        teams=[team],
        policy=Policy(response_weight=response_weight),
    )


class Callers:
    """Callers that submit to one entry or to several in turn."""

    def __init__(self, fleet, nursery):
        self.fleet = fleet
        self.nursery = nursery
        self.answers = []
        self.waits = []

    def submission(self, tasks, run_ms, team, timeout):
        request = TaskRequest("POST", f"/cast?run_ms={run_ms}", [], b"")
        kind = SubmissionKind.SESSION if tasks == 1 else SubmissionKind.JOB
        identity = self.fleet.rng.randbytes(16)
        deadline = trio.current_time() + timeout
        work = [request] * tasks
        return Submission(identity, kind, team, SERVICE, work, b"", deadline)

    async def call(self, entry, run_ms=100, tasks=1, team="getxo", timeout=20):
        submission = self.submission(tasks, run_ms, team, timeout)
        began = trio.current_time()
        submissions = self.fleet.entries[entry].entry.submissions
        answer = await submissions.run_unkeyed(submission)
        self.answers.append(answer)
        self.waits.append(trio.current_time() - began - run_ms / 1000)
        return answer

    def start(self, count, entries=("entry-1", "entry-2", "entry-3"), **options):
        async def one(entry):
            await self.call(entry, **options)

        for number in range(count):
            self.nursery.start_soon(one, entries[number % len(entries)])

    def outcomes(self):
        return [
            a.outcome if isinstance(a, Refused) else a.results[0].outcome
            for a in self.answers
        ]


def sent(fleet, kind):
    processes = [*fleet.entries.values(), *fleet.agents.values()]
    return sum(process.mailer.counters.sent[kind] for process in processes)


class TestFullAgents:
    def count_starts_when_full(self, weight):
        """Return the number of start messages when two entries compete for slots.

        One entry sends 20 tasks to the 24 slots. Immediately afterwards, another
        sends 4 tasks to agents whose slots it still assumes to be free.
        """
        messages = {}

        async def main(fleet):
            async with trio.open_nursery() as nursery:
                callers = Callers(fleet, nursery)
                callers.start(20, ["entry-1"], run_ms=400)
                await trio.sleep(0.01)
                callers.start(4, ["entry-2"], run_ms=50)
            messages["starts"] = sent(fleet, "Start")
            assert callers.outcomes() == [Outcome.DONE] * 24
            assert max(callers.waits) < 0.01 or weight < 0.5

        run_fleet(main, manifest=make_manifest(weight))
        return messages["starts"]

    def test_task_refused_by_a_full_agent_is_sent_to_another(self):
        assert self.count_starts_when_full(0.9) > 24

    def test_task_waits_at_a_full_agent_if_messages_weigh_more(self):
        assert self.count_starts_when_full(0.1) == 24


class TestJobs:
    def test_single_request_does_not_wait_behind_a_job(self):
        async def main(fleet):
            async with trio.open_nursery() as nursery:
                callers = Callers(fleet, nursery)
                callers.start(1, ["entry-1"], tasks=400, run_ms=200, timeout=60)
                await trio.sleep(1)
                for entry in fleet.entries:
                    await callers.call(entry, run_ms=50)
                assert max(callers.waits) <= 0.2 + 0.01

        run_fleet(main, manifest=make_manifest())

    def test_job_is_sent_in_batches_and_completes_in_time(self):
        async def main(fleet):
            before = fleet.entries["entry-1"].mailer.counters.batches_sent
            async with trio.open_nursery() as nursery:
                callers = Callers(fleet, nursery)
                await callers.call("entry-1", tasks=960, run_ms=50, timeout=60)
            [answer] = callers.answers
            assert {result.outcome for result in answer.results} == {Outcome.DONE}
            assert callers.waits[0] + 0.05 <= 1.05 * 960 * 0.05 / 24
            after = fleet.entries["entry-1"].mailer.counters.batches_sent
            assert after - before < 0.2 * 960

        limits = {"quota_starts_per_second": 100_000.0}
        run_fleet(main, manifest=make_manifest(**limits))


class TestCancellations:
    def test_mass_cancellation_sends_one_message_per_agent(self):
        async def main(fleet):
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    callers = Callers(fleet, nursery)
                    callers.start(60, ["entry-1"], run_ms=5000)
                    await trio.sleep(0.5)
                    scope.cancel()
            results = sent(fleet, "TaskResult")
            await trio.sleep(0.5)
            assert sent(fleet, "Cancel") == len(fleet.agents)
            assert sent(fleet, "TaskResult") == results
            assert not any(
                agent.agent.runner.task_count() for agent in fleet.agents.values()
            )

        run_fleet(main, manifest=make_manifest())

    def test_queue_emptied_by_mass_cancellation_counts_as_empty(self):
        async def main(fleet):
            dispatcher = fleet.entries["entry-1"].entry.dispatcher
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    Callers(fleet, nursery).start(200, ["entry-1"], run_ms=5000)
                    await trio.sleep(0.5)
                    assert dispatcher.queued()
                    scope.cancel()
            assert not dispatcher.queued()
            assert dispatcher.waiting.nonempty_since == {}

        run_fleet(main, manifest=make_manifest())


class TestQuota:
    def test_entries_of_all_zones_together_enforce_the_quota(self):
        async def main(fleet):
            async with trio.open_nursery() as nursery:
                callers = Callers(fleet, nursery)
                for _ in range(100):
                    callers.start(12, run_ms=50)
                    await trio.sleep(0.1)
            done = callers.outcomes().count(Outcome.DONE)
            assert 0.85 * 30 * 10 <= done <= 1.05 * 30 * 10.5
            refused = [a for a in callers.answers if isinstance(a, Refused)]
            assert all(answer.retry_after > 0 for answer in refused)

        limits = {"quota_starts_per_second": 30.0}
        run_fleet(main, manifest=make_manifest(**limits))

    def test_refused_request_with_a_key_runs_once_when_retried(self):
        async def main(fleet):
            refused, answered = [], []

            async def retry_until_served(number):
                headers = [("idempotency-key", f"key-{number}")]
                while True:
                    request = HttpRequest("POST", "/s/voting/cast", list(headers))
                    request.body = f"ballot-{number}".encode()
                    answer = await fleet.call(f"entry-{number % 3 + 1}", request)
                    if answer.status == 200:
                        answered.append(number)
                        return
                    assert dict(answer.headers)["bergamotcourse-outcome"] == "not_run"
                    wait = int(dict(answer.headers)["retry-after"])
                    refused.append(wait)
                    await trio.sleep(wait)

            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(retry_until_served, number)
            assert refused
            assert sorted(answered) == list(range(12))
            assert fleet.starts() == {f"ballot-{n}": 1 for n in range(12)}

        manifest = default_manifest()
        [team] = manifest.teams
        limited = replace(team, quota_starts_per_second=3.0)
        run_fleet(main, manifest=replace(manifest, teams=[limited]))


class TestOverload:
    def test_refused_requests_never_run_and_others_are_served_soon(self):
        async def main(fleet):
            async with trio.open_nursery() as nursery:
                callers = Callers(fleet, nursery)
                # 24 slots run 120 such tasks per second; callers send twice as many.
                for _ in range(100):
                    callers.start(24, run_ms=200)
                    await trio.sleep(0.1)
            outcomes = callers.outcomes()
            done = outcomes.count(Outcome.DONE)
            assert set(outcomes) == {Outcome.DONE, Outcome.NOT_RUN}
            assert sum(fleet.starts().values()) == done
            assert done >= 0.95 * 120 * 10
            late = [wait for wait in callers.waits[-300:] if wait > 0]
            assert max(late) < 1.0

        run_fleet(main, manifest=make_manifest())


class TestUnavailableService:
    def test_service_without_an_upstream_rule_is_refused_at_once(self):
        async def main(fleet):
            async with trio.open_nursery() as nursery:
                answer = await Callers(fleet, nursery).call("entry-1")
            assert answer.outcome is Outcome.NOT_RUN
            assert answer.retry_after == 0

        bare = Manifest(release="virtual", services=[Service(name=SERVICE)])
        run_fleet(main, manifest=bare)

    def test_request_waits_briefly_for_upstreams_to_return(self):
        async def main(fleet):
            for process in fleet.agents.values():
                process.upstream.leaving = True
                for one in list(process.agent.upstreams.upstreams.values()):
                    process.agent.mark_upstream_leaving(one)
            async with trio.open_nursery() as nursery:
                callers = Callers(fleet, nursery)
                await trio.sleep(0.1)
                callers.start(1, ["entry-1"])
                await trio.sleep(3)
                answer = await callers.call("entry-1")
                assert answer.outcome is Outcome.NOT_RUN
                assert answer.retry_after > 0
                for process in fleet.agents.values():
                    process.upstream.leaving = False
            assert isinstance(callers.answers[-1], Completed)
            assert callers.outcomes()[-1] is Outcome.DONE

        run_fleet(main, manifest=make_manifest())


class TestFaultyUpstreams:
    def measure_share(self, fault, seconds=8):
        """Return the share of tasks that an upstream gets from 2 s after its fault."""
        counts = {}

        async def main(fleet):
            async with trio.open_nursery() as nursery:
                callers = Callers(fleet, nursery)
                for step in range(seconds * 10):
                    if step == 20:
                        fault(fleet.upstreams["agent-1"].faults)
                    callers.start(6, run_ms=100)
                    await trio.sleep(0.1)
                    if step == 40:
                        first = fleet.upstreams["agent-1"].starts.total()
                        before = sum(fleet.starts().values())
            total = sum(fleet.starts().values()) - before
            lost = fleet.upstreams["agent-1"].starts.total() - first
            counts["share"] = lost / total

        run_fleet(main, manifest=make_manifest())
        return counts["share"]

    def test_fast_failing_upstream_attracts_no_tasks(self):
        def fail(faults):
            faults.fail = True

        assert self.measure_share(fail) < 0.02

    def test_slow_upstream_gets_only_trial_tasks(self):
        def slow(faults):
            faults.slow_factor = 10.0

        assert self.measure_share(slow) < 0.02
