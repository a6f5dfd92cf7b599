import pytest

from bergamotcourse.coordination.admission import (
    MAX_RETRY_AFTER_SECONDS,
    STANDING_QUEUE_SECONDS,
    UPSTREAM_ABSENCE_GRACE_SECONDS,
    Admission,
    Backlog,
)
from bergamotcourse.coordination.fair_queue import FairQueue
from bergamotcourse.coordination.permits import Permits
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.state.manifest import Manifest, UpstreamRule
from bergamotcourse.state.submission import SubmissionKind
from bergamotcourse.tests.coordination.policy_parts import (
    SERVICE,
    Clock,
    make_directory,
    make_quotas,
    make_submission,
    measured_estimates,
)

NOW = 100.0


def make_admission(run_seconds=0.4, **limits):
    quotas = make_quotas(Clock(), **limits)
    return Admission(make_directory(2), measured_estimates(run_seconds), quotas)


def make_backlog(
    waiting=0, team="getxo", slots=16, in_flight=16, since=None, job=False
):
    queue = FairQueue()
    for number in range(waiting):
        queue.push(team, 1.0, number, job)
    return Backlog(queue, slots, in_flight, since)


class TestUnservable:
    def test_service_without_rule_is_refused_permanently(self):
        admission = make_admission()
        admission.directory.apply_permits(
            Permits(ConfigVersion(1), Manifest(release="r"))
        )
        refusal = admission.evaluate(make_submission(), make_backlog(), NOW)
        assert "permits no upstream" in refusal.detail
        assert refusal.retry_after == 0

    def test_service_without_upstreams_is_refused_after_grace_period(self):
        admission = make_admission()
        rule = UpstreamRule(name="all", services=[SERVICE])
        manifest = Manifest(release="r", upstreams=[rule])
        admission.directory.apply_permits(Permits(ConfigVersion(1), manifest))
        none = make_backlog(slots=0, in_flight=0)
        assert admission.evaluate(make_submission(), none, NOW) is None
        later = NOW + UPSTREAM_ABSENCE_GRACE_SECONDS
        refusal = admission.evaluate(make_submission(), none, later)
        assert "right now" in refusal.detail
        assert refusal.retry_after > 0

    def test_team_with_zero_quota_is_refused_permanently(self):
        admission = make_admission(max_in_flight=0)
        assert (
            admission.evaluate(make_submission(), make_backlog(), NOW).retry_after == 0
        )

    def test_job_longer_than_its_deadline_is_refused_permanently(self):
        job = make_submission(tasks=1600, kind=SubmissionKind.JOB, deadline=NOW + 30)
        assert make_admission().evaluate(job, make_backlog(), NOW).retry_after == 0
        assert make_admission(0.1).evaluate(job, make_backlog(), NOW) is None

    def test_job_is_not_refused_by_declared_run_time(self):
        admission = make_admission()
        admission.estimates = type(admission.estimates)()
        admission.estimates.declare(SERVICE, 100.0)
        job = make_submission(tasks=16, kind=SubmissionKind.JOB, deadline=NOW + 30)
        assert admission.evaluate(job, make_backlog(), NOW) is None


class TestOverload:
    def test_burst_is_admitted_if_its_deadline_can_be_met(self):
        admission = make_admission()
        assert admission.evaluate(make_submission(), make_backlog(100), NOW) is None
        urgent = make_submission(deadline=NOW + 1)
        assert admission.evaluate(urgent, make_backlog(100), NOW) is not None

    def test_standing_queue_is_kept_short(self):
        admission = make_admission()
        since = NOW - STANDING_QUEUE_SECONDS
        assert (
            admission.evaluate(make_submission(), make_backlog(5, since=since), NOW)
            is None
        )
        assert (
            admission.evaluate(make_submission(), make_backlog(50, since=since), NOW)
            is not None
        )

    def test_long_queue_of_one_team_does_not_refuse_another_team(self):
        admission = make_admission()
        flooded = make_backlog(5000, team="gijon", since=NOW - STANDING_QUEUE_SECONDS)
        assert admission.evaluate(make_submission(), flooded, NOW) is None
        own = make_submission(team="gijon")
        assert admission.evaluate(own, flooded, NOW) is not None

    def test_retry_times_are_spaced_out_and_bounded(self):
        admission = make_admission()
        full = make_backlog(5000)
        turns = [admission.evaluate(make_submission(), full, NOW) for _ in range(200)]
        waits = [turn.retry_after for turn in turns]
        assert waits == sorted(waits)
        assert waits[0] > 5000 * 0.4 / 16 - 30 or waits[0] == MAX_RETRY_AFTER_SECONDS
        assert waits[-1] <= MAX_RETRY_AFTER_SECONDS


class TestQuota:
    def test_team_over_quota_is_refused_with_retry_time(self):
        admission = make_admission(quota_starts_per_second=10.0)
        quotas = admission.quotas
        while quotas.may_start("getxo"):
            quotas.record_start("getxo")
            quotas.record_end("getxo")
        quotas.of("getxo").waiting = 19
        refusal = admission.evaluate(make_submission(), make_backlog(), NOW)
        assert "quota" in refusal.detail
        assert refusal.retry_after == pytest.approx(2.0, abs=0.2)

    def test_job_too_long_for_the_quota_is_refused_permanently(self):
        admission = make_admission(quota_starts_per_second=10.0)
        job = make_submission(tasks=1600, kind=SubmissionKind.JOB, deadline=NOW + 30)
        assert admission.evaluate(job, make_backlog(), NOW).retry_after == 0
