"""Each guard is switched off; the named scenario must then show that it is missed."""

from pathlib import Path

import pytest
from expression import Ok

from bergamotcourse.coordination import answer_recovery
from bergamotcourse.coordination.claims import ClaimService
from bergamotcourse.coordination.journal import Journal
from bergamotcourse.coordination.key_checks import KeyChecker
from bergamotcourse.coordination.lease import Lease, LeaseState
from bergamotcourse.scenarios.parser import parse
from bergamotcourse.scenarios.runner import run_scenario
from bergamotcourse.state.ledger import Ledger
from bergamotcourse.state.start_log import StartLog

CASES = Path(__file__).parent / "cases"
FAR = 1e7


def no_epoch_check(monkeypatch):
    admit = StartLog.admit

    def forgetful(self, start, claimant, now_ms):
        self.epochs.clear()
        return admit(self, start, claimant, now_ms)

    monkeypatch.setattr(StartLog, "admit", forgetful)


def no_token_check(monkeypatch):
    monkeypatch.setattr(StartLog, "token_is_current", lambda *_: True)


def no_claim_record(monkeypatch):
    monkeypatch.setattr(Ledger, "put", lambda *_: None)


def no_join(monkeypatch):
    def granted_anew(self, sender, claim, owned, record):
        return self._create_record(sender, claim, owned, record.attempt + 1)

    monkeypatch.setattr(ClaimService, "_decide_known_key", granted_anew)


def no_doubt(monkeypatch):
    monkeypatch.setattr(KeyChecker, "may_miss_grants", lambda *_: False)


def no_journal_replay(monkeypatch):
    async def nothing(_self, _entry):
        return Ok([])

    monkeypatch.setattr(Journal, "read", nothing)


def no_check_of_agents_memory(monkeypatch):
    monkeypatch.setattr(answer_recovery, "_log_covers_claim", lambda *_: True)


def no_end_of_lease(monkeypatch):
    def unending(self):
        return FAR if self.state is LeaseState.HELD else 0.0

    monkeypatch.setattr(Lease, "valid_until", unending)


def no_need_of_a_promise(monkeypatch):
    async def assume(self):
        self.promise_valid_until = FAR

    monkeypatch.setattr(Lease, "_request_promises", assume)


MUTATIONS = [
    ([no_claim_record], "07-races"),
    ([no_claim_record], "02-owner-dies-unjournaled"),
    ([no_join], "07-races"),
    ([no_join], "06-claimant-dies-after-start"),
    ([no_doubt], "03-unjournaled-claim"),
    ([no_journal_replay, no_doubt], "03-journaled-claim"),
    ([no_check_of_agents_memory], "03-owner-and-agent-die"),
    ([no_epoch_check, no_token_check], "01-owner-paused"),
    ([no_end_of_lease], "04-outage-one"),
    ([no_need_of_a_promise], "04-outage-two"),
]


class TestMutations:
    @pytest.mark.parametrize(
        ("guards", "case"),
        MUTATIONS,
        ids=lambda part: part if isinstance(part, str) else part[0].__name__,
    )
    def test_without_its_guard_the_scenario_fails(self, monkeypatch, guards, case):
        for switch_off in guards:
            switch_off(monkeypatch)
        steps = parse((CASES / f"{case}.scenario").read_text(), case).ok
        assert run_scenario(steps, seed=1).failures
