"""Callers' HTTP requests to the adapter of an entry, with simulated agents."""

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.job_run import JobAnswer, JobOutcome, JobRun
from bergamotcourse.coordination.jobs.queues_in_force import QueuesInForce
from bergamotcourse.platform.callers import (
    CallerRequestHandler,
    ReadinessHandler,
    job_response,
)
from bergamotcourse.platform.documents import decode_job, decode_queues
from bergamotcourse.tests.jobs.fleets import make_service, run_fleet
from bergamotcourse.transport.http import HttpRequest

ID = "5c0e7a21d94b36f8"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": "one.example",
            "path_prefix": "/a/",
            "service": "voting",
            "max_attempts": 2,
            "slack_factor": 1.6,
            "target_latency_ms": 60,
        }
    ],
}
JOB = {
    "spec": "0.2",
    "best_effort": True,
    "steps": [{"count": 2, "cpu": 3100, "mem_mb": 64, "estimated_ms": 200}],
}


def make_front(fleet, configured=True):
    queues = QueuesInForce(decode_queues, EventLog())
    if configured:
        queues.adopt(msgspec.json.encode(CONFIG), "test")
    return CallerRequestHandler(make_service(fleet.entries["entry-1"], queues))


async def ask(front, method, path, body=None, host="one.example", deadline="3000"):
    headers = [("host", host), ("bergamotcourse-deadline-ms", deadline)]
    content = body if isinstance(body, bytes) else msgspec.json.encode(body)
    return await front.handle(HttpRequest(method, path, headers, content))


class TestProcessorOverload:
    def test_new_job_is_refused_before_its_body_is_decoded(self):
        async def main(fleet):
            front = make_front(fleet)
            front.service.processor.shed_share = 1.0
            response = await ask(front, "POST", f"/a/{ID}", b"not read")
            assert response.status == 503
            assert ("retry-after", "1") in response.headers
            assert fleet.history == []

        run_fleet(main)

    def test_resubmitted_job_is_not_refused(self):
        async def main(fleet):
            front = make_front(fleet)
            fleet.nursery.start_soon(ask, front, "POST", f"/a/{ID}", JOB)
            await trio.sleep(0.1)
            front.service.processor.shed_share = 1.0
            response = await ask(front, "POST", f"/a/{ID}", JOB)
            assert response.status == 200

        run_fleet(main)


class TestJobs:
    def test_job_is_answered_after_its_tasks_ended(self):
        async def main(fleet):
            response = await ask(make_front(fleet), "POST", f"/a/{ID}", JOB)
            assert response.status == 200
            assert msgspec.json.decode(response.body) == {"state": "succeeded"}
            assert len(fleet.history) == 2

        run_fleet(main)

    def test_running_job_can_be_queried_and_cancelled(self):
        async def main(fleet):
            front = make_front(fleet)
            fleet.nursery.start_soon(ask, front, "POST", f"/a/{ID}", JOB)
            await trio.sleep(0.05)
            state = await ask(front, "GET", f"/a/{ID}")
            assert msgspec.json.decode(state.body) == {"state": "running"}
            assert (await ask(front, "DELETE", f"/a/{ID}")).status == 200
            await trio.sleep(0.2)
            state = await ask(front, "GET", f"/a/{ID}")
            assert msgspec.json.decode(state.body) == {"state": "cancelled"}
            assert (await ask(front, "DELETE", f"/a/{ID}")).status == 200
            assert all(run.kind.value == "stopped" for run in fleet.history)

        run_fleet(main)

    def test_different_body_under_id_of_running_job_is_refused(self):
        async def main(fleet):
            front = make_front(fleet)
            fleet.nursery.start_soon(ask, front, "POST", f"/a/{ID}", JOB)
            await trio.sleep(0.05)
            other = {**JOB, "spec": "0.3"}
            assert (await ask(front, "POST", f"/a/{ID}", other)).status == 409

        run_fleet(main)

    def test_pending_jobs_are_counted(self):
        async def main(fleet):
            response = await ask(make_front(fleet), "GET", "/a/")
            assert msgspec.json.decode(response.body) == {"pending": 0}

        run_fleet(main)

    @pytest.mark.parametrize(
        "change", [{"best_effort": False}, {"repeat_count": 2}, {"long_running": True}]
    )
    def test_unsupported_properties_are_refused(self, change):
        async def main(fleet):
            front = make_front(fleet)
            response = await ask(front, "POST", f"/a/{ID}", {**JOB, **change})
            assert response.status == 503
            assert dict(response.headers)["retry-after"]
            assert fleet.history == []

        run_fleet(main)


class TestBadRequests:
    @pytest.mark.parametrize(
        "method, path, host, body, status",
        [
            ("POST", f"/b/{ID}", "one.example", JOB, 404),
            ("POST", f"/a/{ID}", "two.example", JOB, 404),
            ("POST", "/a/short", "one.example", JOB, 400),
            ("POST", f"/a/{ID}", "one.example", {"spec": 1}, 400),
            ("POST", f"/a/{ID}", "one.example", b"{", 400),
            ("PUT", f"/a/{ID}", "one.example", JOB, 405),
        ],
    )
    def test_are_refused_with_matching_status(self, method, path, host, body, status):
        async def main(fleet):
            response = await ask(make_front(fleet), method, path, body, host)
            assert response.status == status

        run_fleet(main)

    def test_all_are_refused_until_a_configuration_is_in_force(self):
        async def main(fleet):
            front = make_front(fleet, configured=False)
            assert (await ask(front, "POST", f"/a/{ID}", JOB)).status == 503

        run_fleet(main)

    @settings(max_examples=60)
    @given(
        st.sampled_from(["GET", "POST", "DELETE", "X"]),
        st.text(max_size=40),
        st.binary(max_size=80),
        st.text(max_size=8),
    )
    def test_arbitrary_requests_get_client_errors(self, method, path, body, wait):
        class Fleet:
            entries = {
                "entry-1": type("Entry", (), {"jobs": None, "peer_jobs": None})()
            }

        async def main():
            response = await ask(
                make_front(Fleet), method, f"/a/{path}x", body, deadline=wait
            )
            assert 400 <= response.status < 500

        trio.run(main)


class TestReadiness:
    @pytest.mark.parametrize("ready, status", [(True, 200), (False, 503)])
    def test_status_code_reports_readiness(self, ready, status):
        front = ReadinessHandler(lambda: ready)
        response = trio.run(front.handle, HttpRequest("GET", "/bergamotcourse/ready"))
        assert response.status == status


class TestLoggedResponses:
    def test_each_call_for_a_job_is_logged_with_what_it_was_told(self):
        async def main(fleet):
            front = make_front(fleet)
            events = []
            front.service.log.sink = lambda kind, fields: events.append((kind, fields))
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(ask, front, "POST", f"/a/{ID}", JOB)
            told = [fields for kind, fields in events if kind == "job.answered"]
            joined = fleet.logged("job.joined")
            assert [(one["outcome"], one["status"]) for one in told] == [
                ("succeeded", 200)
            ] * 2
            assert [(one["request"], one["calls"]) for one in joined] == [(ID, 1)]

        run_fleet(main)


class TestCancelledJob:
    def test_is_answered_as_failed_to_the_call_that_waits_for_it(self):
        """Guards against a 200 whose state is none that a submission may have."""

        async def main(fleet):
            front = make_front(fleet)
            responses = []

            async def submit():
                responses.append(await ask(front, "POST", f"/a/{ID}", JOB))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                await trio.sleep(0.05)
                assert (await ask(front, "DELETE", f"/a/{ID}")).status == 200
            assert responses[0].status == 200
            assert msgspec.json.decode(responses[0].body) == {"state": "failed"}

        run_fleet(main)

    @pytest.mark.parametrize("outcome", list(JobOutcome))
    def test_no_outcome_is_answered_with_an_unknown_state(self, outcome):
        response = job_response(JobAnswer(outcome))
        if response.status == 200:
            state = msgspec.json.decode(response.body)["state"]
            assert state in ("succeeded", "failed")
        else:
            assert response.status in (503, 504)


class TestStateOfAnEndedJob:
    @pytest.mark.parametrize(
        "outcome, status, state",
        [
            (JobOutcome.SUCCEEDED, 200, "succeeded"),
            (JobOutcome.FAILED, 200, "failed"),
            (JobOutcome.CANCELLED, 410, None),
            (JobOutcome.REFUSED, 410, None),
            (JobOutcome.TIMED_OUT, 410, None),
        ],
    )
    def test_is_not_running(self, outcome, status, state):
        """Guards against a state that contradicts the answer to the submission."""

        async def main(fleet):
            front = make_front(fleet)
            fleet.nursery.start_soon(ask, front, "POST", f"/a/{ID}", JOB)
            await trio.sleep(0.05)
            front.service.jobs.jobs[ID].finish(outcome)
            response = await ask(front, "GET", f"/a/{ID}")
            assert response.status == status
            if state is not None:
                assert msgspec.json.decode(response.body) == {"state": state}

        run_fleet(main)

    def test_is_cancelled_after_a_caller_has_cancelled_it(self):
        async def main(fleet):
            front = make_front(fleet)
            fleet.nursery.start_soon(ask, front, "POST", f"/a/{ID}", JOB)
            await trio.sleep(0.05)
            assert (await ask(front, "DELETE", f"/a/{ID}")).status == 200
            response = await ask(front, "GET", f"/a/{ID}")
            assert msgspec.json.decode(response.body) == {"state": "cancelled"}

        run_fleet(main)

    def test_is_not_pending(self):
        """Guards against counting a refused job among those that wait for a start."""

        async def main(fleet):
            front = make_front(fleet)
            queue = front.service.find_queue("one.example", f"/a/{ID}")
            spec = decode_job(ID, msgspec.json.encode(JOB))
            run = JobRun(spec, queue, 0.0)
            run.finish(JobOutcome.REFUSED)
            front.service.jobs.jobs[ID] = run
            response = await ask(front, "GET", "/a/")
            assert msgspec.json.decode(response.body) == {"pending": 0}

        run_fleet(main)


class TestJobOfAnotherQueue:
    def make_front(self, fleet):
        front = make_front(fleet)
        route = {**CONFIG["routes"][0], "name": "r-2", "path_prefix": "/b/"}
        config = {"version": 4, "routes": [*CONFIG["routes"], route]}
        front.service.queues.adopt(msgspec.json.encode(config), "test")
        return front

    def test_is_not_joined_shown_or_cancelled(self):
        """Guards against answering for a job of another queue under the same id."""

        async def main(fleet):
            front = self.make_front(fleet)
            responses = []

            async def submit():
                responses.append(await ask(front, "POST", f"/a/{ID}", JOB))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                await trio.sleep(0.05)
                assert (await ask(front, "POST", f"/b/{ID}", JOB)).status == 409
                assert (await ask(front, "GET", f"/b/{ID}")).status == 410
                assert (await ask(front, "DELETE", f"/b/{ID}")).status == 410
                assert (await ask(front, "GET", f"/a/{ID}")).status == 200
            assert msgspec.json.decode(responses[0].body) == {"state": "succeeded"}


class TestJobWithANumberOutOfRange:
    @pytest.mark.parametrize("field", ["cpu", "mem_mb", "gpu", "estimated_ms"])
    @pytest.mark.parametrize("number", ["1e308", "1" + "0" * 30, "1" + "0" * 400])
    def test_is_refused_as_malformed(self, field, number):
        """Guards against telling its caller to submit it again after a second."""

        async def main(fleet):
            front = make_front(fleet)
            step = {**JOB["steps"][0], field: msgspec.Raw(number.encode())}
            body = msgspec.json.encode({**JOB, "steps": [step]})
            response = await ask(front, "POST", f"/a/{ID}", body)
            assert response.status == 400
            assert fleet.entries["entry-1"].jobs.jobs == {}
            other = await ask(front, "POST", f"/a/{ID[::-1]}", JOB)
            assert other.status == 200

        run_fleet(main)
