import random

import pytest
import trio

from bergamotcourse.coordination.claims import ClaimService, first_attempt
from bergamotcourse.coordination.ownership import OwnedRange, RangeState
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.ids import EntryId, Epoch, LinkAddress
from bergamotcourse.protocol.messages import (
    Claim,
    ClaimRefused,
    Finished,
    Granted,
    Joined,
)
from bergamotcourse.protocol.outcome import Outcome
from bergamotcourse.state.ledger import Ledger
from bergamotcourse.tests.configs import run

ONE, OTHER = LinkAddress("tcp://one"), LinkAddress("tcp://other")
TOKEN_SECONDS = 2.0
LEASE_SECONDS = 5.0


class Lease:
    def __init__(self):
        self.confirmed = True

    def valid_until(self):
        return trio.current_time() + LEASE_SECONDS

    def is_confirmed(self, now):
        return self.confirmed


class Ownership:
    def __init__(self):
        self.rng = random.Random(1)
        self.lease = Lease()
        self.entry_id = "owner"
        self.range = OwnedRange(Epoch(3), RangeState.READY, 0.0, 0)
        self.wall_ms = lambda: 0

    def held_range(self, range_id, now):
        return self.range


class Journal:
    def enqueue(self, submission):
        pass


def make_service(runs_here=lambda _submission: False):
    ledger = Ledger(60_000)
    return ClaimService(
        Ownership(), ledger, Journal(), Timers(), TOKEN_SECONDS, 1.0, runs_here
    )


def claim(entry="one", run=1, **changes):
    fields = {
        "id": 0,
        "submission": b"s",
        "range": 7,
        "digest": b"d",
        "entry": entry,
        "key_epoch": 0,
        "made_ms": 0,
        "write_ahead": False,
        "run": run,
    }
    return Claim(**(fields | changes))


def virtual(test):
    """Run an async test method on a virtual clock."""

    def on_virtual_clock(self):
        run(lambda: test(self))

    return on_virtual_clock


class TestDecideClaim:
    @virtual
    async def test_concurrent_claims_grant_first_and_join_second(self):
        service = make_service()
        granted = service.decide_claim(ONE, claim())
        assert isinstance(granted, Granted)
        assert granted.attempt == first_attempt(Epoch(3))
        joined = service.decide_claim(OTHER, claim("other"))
        assert (joined.entry, joined.attempt) == ("one", granted.attempt)

    @virtual
    async def test_repeated_claim_of_same_run_gets_same_attempt(self):
        service = make_service()
        granted = service.decide_claim(ONE, claim())
        assert service.decide_claim(ONE, claim()).attempt == granted.attempt
        held = claim(run=9, held_attempt=granted.attempt)
        assert service.decide_claim(ONE, held).attempt == granted.attempt

    @virtual
    async def test_another_run_of_same_entry_gets_no_second_grant(self):
        # The entry may have dropped the answer, and its ``Finished`` may be lost.
        service = make_service()
        service.decide_claim(ONE, claim(run=1))
        assert isinstance(service.decide_claim(ONE, claim(run=2)), Joined)

    @virtual
    async def test_different_request_under_same_key_conflicts(self):
        service = make_service()
        service.decide_claim(ONE, claim())
        reply = service.decide_claim(OTHER, claim("other", digest=b"e"))
        assert isinstance(reply, ClaimRefused)
        assert reply.conflict

    @virtual
    async def test_no_grant_that_rounds_to_zero_milliseconds(self):
        service = make_service()
        service.ownership.lease.valid_until = lambda: trio.current_time() + 0.0005
        assert isinstance(service.decide_claim(ONE, claim()), ClaimRefused)

    @virtual
    async def test_not_run_outcome_allows_new_attempt(self):
        service = make_service()
        granted = service.decide_claim(ONE, claim())
        service.record_outcome(
            Finished(b"s", granted.attempt, Outcome.NOT_RUN, range=7)
        )
        again = service.decide_claim(OTHER, claim("other"))
        assert again.attempt == granted.attempt + 1

    @virtual
    async def test_restored_not_run_outcome_is_not_trusted_while_agent_unreported(self):
        service = make_service()
        granted = service.decide_claim(ONE, claim())
        service.record_outcome(
            Finished(b"s", granted.attempt, Outcome.NOT_RUN, range=7)
        )
        service.ledger.get(b"s").restored = True
        service.ownership.range.unreported_agents = {"agent-1"}
        assert isinstance(service.decide_claim(OTHER, claim("other")), Joined)


class TestNotStartedProof:
    """A proof counts only for the newest grant, and only once no start is admitted."""

    def claim_with_proof(self, service, joined):
        return service.decide_claim(
            OTHER,
            claim("other", proved_attempt=joined.attempt, proved_grant=joined.grant),
        )

    @virtual
    async def test_proof_is_refused_until_no_start_can_be_admitted(self):
        service = make_service()
        service.decide_claim(ONE, claim())
        joined = service.decide_claim(OTHER, claim("other"))
        assert joined.settled_ms > LEASE_SECONDS * 1000
        assert isinstance(self.claim_with_proof(service, joined), Joined)
        await trio.sleep(joined.settled_ms / 1000)
        assert self.claim_with_proof(service, joined).attempt == joined.attempt + 1

    @virtual
    async def test_proof_is_refused_after_grant_renewal(self):
        service = make_service()
        service.decide_claim(ONE, claim())
        joined = service.decide_claim(OTHER, claim("other"))
        await trio.sleep(4)
        service.decide_claim(ONE, claim())
        await trio.sleep(60)
        assert isinstance(self.claim_with_proof(service, joined), Joined)

    @virtual
    async def test_proof_is_refused_while_owner_runs_submission(self):
        service = make_service(runs_here=lambda _submission: True)
        service.ownership.entry_id = "one"
        service.decide_claim(ONE, claim(EntryId("one")))
        await trio.sleep(60)
        joined = service.decide_claim(OTHER, claim("other"))
        assert joined.settled_ms < 0
        assert isinstance(self.claim_with_proof(service, joined), Joined)

    @pytest.mark.parametrize("outcome", [Outcome.DONE, Outcome.FAILED])
    def test_proof_is_refused_for_finished_submission(self, outcome):
        async def main():
            service = make_service()
            granted = service.decide_claim(ONE, claim())
            service.record_outcome(Finished(b"s", granted.attempt, outcome, range=7))
            await trio.sleep(60)
            joined = service.decide_claim(OTHER, claim("other"))
            assert isinstance(self.claim_with_proof(service, joined), Joined)

        run(main)


class TestRecordOutcome:
    @virtual
    async def test_claim_is_not_confirmed_without_confirmed_lease(self):
        service = make_service()
        granted = service.decide_claim(ONE, claim())
        message = Finished(b"s", granted.attempt, Outcome.NOT_RUN, range=7)
        assert service.record_outcome(message)
        service.ownership.lease.confirmed = False
        assert not service.record_outcome(message)

    @virtual
    async def test_claim_is_not_confirmed_for_older_attempt(self):
        service = make_service()
        granted = service.decide_claim(ONE, claim())
        older = Finished(b"s", granted.attempt - 1, Outcome.NOT_RUN, range=7)
        assert not service.record_outcome(older)
