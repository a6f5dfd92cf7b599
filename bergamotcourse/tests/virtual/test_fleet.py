import trio

from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet


def run_session_requests(seed):
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = VirtualFleet(nursery, seed, FleetShape(entries=2, agents=4))
            await fleet.start()
            answers = []
            for number in range(20):
                request = HttpRequest("POST", "/s/voting/cast?run_ms=80")
                request.body = f"ballot-{number}".encode()
                answers.append(await fleet.call(f"entry-{number % 2 + 1}", request))
            finished_at = trio.current_time()
            starts = fleet.starts()
            nursery.cancel_scope.cancel()
        return [(a.status, a.body) for a in answers], starts, finished_at

    return run_virtual(main, seed)


class TestVirtualFleet:
    def test_requests_are_answered_and_started_once(self):
        answers, starts, _ = run_session_requests(1)
        assert [status for status, _ in answers] == [200] * 20
        assert starts == {f"ballot-{number}": 1 for number in range(20)}

    def test_same_seed_gives_the_same_run(self):
        assert run_session_requests(7) == run_session_requests(7)
