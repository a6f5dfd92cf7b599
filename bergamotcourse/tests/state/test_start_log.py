from dataclasses import dataclass, replace

import pytest

from bergamotcourse.state.start_log import Admission, StartLog

TOKEN_MS = 5_000


@dataclass(frozen=True)
class Order:
    submission: bytes = b"s"
    index: int = 0
    attempt: int = 1
    dispatch: int = 1
    range: int = 3
    epoch: int = 1
    token: int = 0
    digest: bytes = b"d"


@pytest.fixture
def log():
    return StartLog(boot=9, token_ms=TOKEN_MS, retention_ms=60_000, epochs_loaded=True)


def order(log, now_ms=0, **changes):
    return replace(Order(token=log.issue_token(now_ms)), **changes)


class TestAdmit:
    def admit(self, log, start, now_ms=0):
        return log.admit(start, "tcp://entry", now_ms)

    def test_duplicate_start_is_refused(self, log):
        start = order(log)
        assert self.admit(log, start) is Admission.ADMITTED
        assert self.admit(log, start) is Admission.DUPLICATE

    def test_later_attempt_of_started_task_is_refused(self, log):
        self.admit(log, order(log))
        later = order(log, attempt=2)
        assert self.admit(log, later) is Admission.ALREADY_STARTED

    def test_withdrawn_task_is_admitted_only_with_newer_dispatch(self, log):
        first = order(log)
        self.admit(log, first)
        log.withdraw(b"s", 0)
        assert self.admit(log, first) is Admission.DUPLICATE
        assert self.admit(log, order(log, dispatch=2)) is Admission.ADMITTED

    def test_start_with_older_epoch_is_refused(self, log):
        log.fence(3, 2)
        assert self.admit(log, order(log, epoch=1)) is Admission.OLD_EPOCH
        assert self.admit(log, order(log, epoch=2)) is Admission.ADMITTED

    @pytest.mark.parametrize("now_ms", [TOKEN_MS + 1, -1])
    def test_token_is_refused_outside_its_lifetime(self, log, now_ms):
        start = order(log, now_ms=10_000)
        assert self.admit(log, start, 10_000 + now_ms) is Admission.STALE_TOKEN
        assert self.admit(log, start, 10_000 + TOKEN_MS) is Admission.ADMITTED

    def test_token_of_another_process_is_refused(self, log):
        other = StartLog(boot=8, token_ms=TOKEN_MS, retention_ms=60_000)
        start = order(log, token=other.issue_token(0))
        assert self.admit(log, start) is Admission.STALE_TOKEN

    def test_start_under_range_is_refused_until_epochs_are_loaded(self):
        log = StartLog(boot=9, token_ms=TOKEN_MS, retention_ms=60_000)
        assert self.admit(log, order(log)) is Admission.EPOCHS_UNKNOWN
        unkeyed = order(log, submission=b"u", range=-1)
        assert self.admit(log, unkeyed) is Admission.ADMITTED
        log.epochs_loaded = True
        assert self.admit(log, order(log)) is Admission.ADMITTED

    def test_start_of_barred_attempt_is_refused(self, log):
        assert log.bar(b"s", 1, 0) == []
        assert self.admit(log, order(log)) is Admission.BARRED
        assert self.admit(log, order(log, attempt=2)) is Admission.ADMITTED

    def test_start_of_another_request_under_the_id_is_refused(self, log):
        self.admit(log, order(log))
        for dispatch in (1, 2):
            other = order(log, dispatch=dispatch, digest=b"other")
            assert self.admit(log, other) is Admission.OTHER_REQUEST
        assert log.digest(b"s") == b"d"

    def test_expired_submission_is_forgotten_without_another_start(self, log):
        self.admit(log, order(log))
        late = order(log, now_ms=60_001, digest=b"other")
        assert self.admit(log, late, 60_001) is Admission.ADMITTED
        assert log.digest(b"s") == b"other"

    def test_copy_of_start_refused_by_full_log_is_never_admitted(self):
        log = StartLog(
            9, token_ms=TOKEN_MS, retention_ms=20_000, limit=1, epochs_loaded=True
        )
        self.admit(log, order(log, submission=b"a"))
        refused = order(log, now_ms=18_000, submission=b"b")
        assert self.admit(log, refused, 18_000) is Admission.FULL
        assert self.admit(log, refused, 20_500) is Admission.STALE_TOKEN
        fresh = order(log, now_ms=20_500, submission=b"b", dispatch=2)
        assert self.admit(log, fresh, 20_500) is Admission.ADMITTED

    def test_submission_is_evicted_after_retention(self, log):
        self.admit(log, order(log))
        log.evict_expired(60_001)
        assert not log.submissions


class TestStartedTasks:
    def test_bar_returns_tasks_that_may_have_run(self, log):
        for index in range(3):
            log.admit(order(log, index=index), "tcp://entry", 0)
        log.withdraw(b"s", 1)
        assert log.bar(b"s", 1, 0) == [0, 2]
        assert log.digest(b"s") == b"d"

    def test_bar_of_attempt_0_refuses_nothing(self, log):
        assert log.bar(b"s", 0, 0) == []
        assert not log.submissions
        assert log.admit(order(log), "tcp://entry", 0) is Admission.ADMITTED

    def test_submissions_started_in_selects_by_range(self, log):
        log.admit(order(log), "tcp://entry", 0)
        log.admit(order(log, submission=b"t", range=4), "tcp://entry", 0)
        log.bar(b"u", 1, 0)
        found = log.submissions_started_in({3, 5})
        assert [(s, one.claimant) for s, one in found] == [(b"s", "tcp://entry")]
