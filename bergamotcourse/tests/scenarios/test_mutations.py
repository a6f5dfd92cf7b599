"""Disables each guard; the scenario that covers it must then fail."""

from pathlib import Path

import pytest
from expression import Ok

from bergamotcourse.coordination import answer_recovery
from bergamotcourse.coordination.claims import ClaimService
from bergamotcourse.coordination.journal import Journal, ReadJournal
from bergamotcourse.coordination.key_checks import KeyChecker
from bergamotcourse.coordination.lease import Lease, LeaseState
from bergamotcourse.scenarios.parser import parse
from bergamotcourse.scenarios.runner import run_scenario
from bergamotcourse.state.ledger import Ledger
from bergamotcourse.state.start_log import StartLog

CASES = Path(__file__).parent / "cases"
FAR_FUTURE_SECONDS = 1e7


def no_epoch_check(monkeypatch):
    admit = StartLog.admit

    def admit_without_epochs(self, start, claimant, now_ms):
        self.epochs.clear()
        return admit(self, start, claimant, now_ms)

    monkeypatch.setattr(StartLog, "admit", admit_without_epochs)


def no_token_check(monkeypatch):
    monkeypatch.setattr(StartLog, "token_is_current", lambda *_: True)


def no_claim_record(monkeypatch):
    monkeypatch.setattr(Ledger, "put", lambda *_: None)


def no_join_of_known_key(monkeypatch):
    def grant_again(self, sender, claim, owned, record):
        return self._create_record(sender, claim, owned, record.attempt + 1)

    monkeypatch.setattr(ClaimService, "_decide_known_key", grant_again)


def no_missed_grant_check(monkeypatch):
    monkeypatch.setattr(KeyChecker, "may_miss_grants", lambda *_: False)


def no_journal_replay(monkeypatch):
    async def read_nothing(_self, _entry):
        return Ok(ReadJournal([], complete=True))

    monkeypatch.setattr(Journal, "read", read_nothing)


def no_start_log_coverage_check(monkeypatch):
    monkeypatch.setattr(answer_recovery, "_log_covers_claim", lambda *_: True)


def no_lease_expiry(monkeypatch):
    def never_expire(self):
        return FAR_FUTURE_SECONDS if self.state is LeaseState.HELD else 0.0

    monkeypatch.setattr(Lease, "valid_until", never_expire)


def no_promise_requirement(monkeypatch):
    async def assume_promises(self):
        self.promise_valid_until = FAR_FUTURE_SECONDS

    monkeypatch.setattr(Lease, "_request_promises", assume_promises)


MUTATIONS = [
    ([no_claim_record], "07-races"),
    ([no_claim_record], "02-owner-dies-unjournaled"),
    ([no_join_of_known_key], "07-races"),
    ([no_join_of_known_key], "06-claimant-dies-after-start"),
    ([no_missed_grant_check], "03-unjournaled-claim"),
    ([no_journal_replay, no_missed_grant_check], "03-journaled-claim"),
    ([no_start_log_coverage_check], "03-owner-and-agent-die"),
    ([no_epoch_check, no_token_check], "01-owner-paused"),
    ([no_lease_expiry], "04-outage-one"),
    ([no_promise_requirement], "04-outage-two"),
]


class TestMutations:
    @pytest.mark.parametrize(
        ("guards", "case"),
        MUTATIONS,
        ids=lambda part: part if isinstance(part, str) else part[0].__name__,
    )
    def test_scenario_fails_without_its_guard(self, monkeypatch, guards, case):
        for switch_off in guards:
            switch_off(monkeypatch)
        steps = parse((CASES / f"{case}.scenario").read_text(), case).ok
        assert run_scenario(steps, seed=1).failures
