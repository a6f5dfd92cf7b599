import random

import trio
from trio.testing import MockClock

from bergamotcourse.ids import LinkAddress
from bergamotcourse.transport.memory_link import MemoryNetwork

A = LinkAddress("tcp://10.0.0.1:7000")
B = LinkAddress("tcp://10.0.0.2:7000")
NUMBERS = [bytes([number]) for number in range(50)]


def exchange(network, scenario):
    """Run a scenario with two open links and return all that B received."""
    received = []

    async def collect(link):
        while True:
            received.append((await link.receive(), trio.current_time()))

    async def main():
        a, b = network.link(A), network.link(B)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(a.run)
            nursery.start_soon(b.run)
            await a.wait_open()
            await b.wait_open()
            nursery.start_soon(collect, b)
            await scenario(a)
            await trio.sleep(10)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return received


def network_of(**faults):
    return MemoryNetwork(random.Random(1), **faults)


async def send_numbers(link):
    for number in NUMBERS:
        assert (await link.send(B, number)).is_ok()


def payloads(received):
    return [payload for payload, _ in received]


class TestDelivery:
    def test_payloads_arrive_in_order_after_delay_and_are_counted(self):
        network = network_of(delay=0.25)
        received = exchange(network, send_numbers)
        assert received == [(number, 0.25) for number in NUMBERS]
        assert (network.sent[A, B].payloads, network.sent[A, B].bytes) == (50, 50)

    def test_pair_delay_replaces_delay(self):
        network = network_of(pair_delay=lambda a, b: 2.0 if (a, b) == (A, B) else 0)
        assert {at for _, at in exchange(network, send_numbers)} == {2.0}

    def test_order_is_kept_when_delay_decreases(self):
        network = network_of(delay=1.0)

        async def scenario(link):
            await link.send(B, b"1")
            network.delay = 0.0
            await link.send(B, b"2")

        assert payloads(exchange(network, scenario)) == [b"1", b"2"]

    def test_unknown_address_drops_payload_and_closed_links_are_removed(self):
        network = network_of()

        async def scenario(link):
            assert (await link.send(LinkAddress("tcp://10.0.0.9:1"), b"x")).is_ok()

        assert exchange(network, scenario) == []
        assert network.links == {}


class TestFaults:
    def test_cut_drops_one_direction_until_healed(self):
        network = network_of()

        async def scenario(link):
            network.cut(B, A)
            await link.send(B, b"1")
            network.cut(A, B)
            await link.send(B, b"2")
            network.heal(A, B)
            await link.send(B, b"3")

        assert payloads(exchange(network, scenario)) == [b"1", b"3"]

    def test_cut_all_drops_everything_until_healed(self):
        network = network_of()

        async def scenario(link):
            network.cut_all(A)
            await link.send(B, b"1")
            network.heal_all(A)
            await link.send(B, b"2")

        assert payloads(exchange(network, scenario)) == [b"2"]

    def test_frozen_receiver_gets_payloads_in_order_after_thaw(self):
        network = network_of()

        async def scenario(link):
            network.freeze(B)
            await send_numbers(link)
            await trio.sleep(5)
            network.thaw(B)

        assert exchange(network, scenario) == [(number, 5.0) for number in NUMBERS]

    def test_same_seed_repeats_loss_duplicates_and_reordering(self):
        runs = [
            exchange(network_of(loss=0.2, duplicate=0.2, reorder=0.1), send_numbers)
            for _ in range(2)
        ]
        assert runs[0] == runs[1]
        got = payloads(runs[0])
        assert set(got) < set(NUMBERS)
        assert len(set(got)) < len(got)
        assert got != sorted(got)
