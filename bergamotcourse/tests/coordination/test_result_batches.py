import trio

from bergamotcourse.coordination.result_batches import MAX_HELD_RESULTS, ResultBatches
from bergamotcourse.tests.configs import run

ENTRY = "tcp://entry-1"


def collect(script):
    sent = []

    async def main():
        async with trio.open_nursery() as nursery:
            batches = ResultBatches(lambda entry, results: sent.append(results))
            batches.nursery = nursery
            await script(batches)
            nursery.cancel_scope.cancel()

    run(main)
    return sent


class TestResultBatches:
    def test_held_results_are_sent_in_one_batch_after_hold_time(self):
        async def script(batches):
            batches.add(ENTRY, 1, hold=0.5)
            await trio.sleep(0.4)
            batches.add(ENTRY, 2, hold=0.5)
            await trio.sleep(0.2)

        assert collect(script) == [[1, 2]]

    def test_result_without_hold_flushes_held_results(self):
        async def script(batches):
            batches.add(ENTRY, 1, hold=0.5)
            batches.add(ENTRY, 2)
            batches.add(ENTRY, 3, hold=0.5)
            await trio.sleep(0.45)
            batches.add(ENTRY, 4)
            await trio.sleep(1)

        assert collect(script) == [[1, 2], [3, 4]]

    def test_full_batch_is_sent_before_hold_time(self):
        async def script(batches):
            for number in range(MAX_HELD_RESULTS):
                batches.add(ENTRY, number, hold=10)

        assert collect(script) == [list(range(MAX_HELD_RESULTS))]
