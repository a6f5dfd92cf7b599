import random
import types
import typing
from enum import Enum

import pytest
import trio

from bergamotcourse.protocol import messages
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet

NUMBERS = [0, 1, -1, 63, 64, 2**31, 2**63 - 1, -(2**63)]
TEXTS = ["", "x", "voting", "agent-9", "entry-9", "tcp://agent-9", "é\0/"]
SENDERS = ["", "x", "tcp://entry-9", "tcp://agent-9"]
SCALARS = {
    int: NUMBERS,
    float: [0.0, -1.0, 1e308],
    bool: [True, False],
    str: TEXTS,
    bytes: [b"", b"x" * 16, b"y"],
    types.NoneType: [None],
}
MESSAGES = 400


def random_value(kind, rng):
    """Return a random value of a type, valid for the codec but otherwise senseless."""
    args = typing.get_args(kind)
    if kind in SCALARS:
        return rng.choice(SCALARS[kind])
    if typing.get_origin(kind) is list:
        return [random_value(args[0], rng) for _ in range(rng.randrange(3))]
    if typing.get_origin(kind) is tuple and args[-1] is Ellipsis:
        return tuple(random_value(args[0], rng) for _ in range(rng.randrange(3)))
    if typing.get_origin(kind) is tuple:
        return tuple(random_value(one, rng) for one in args)
    if args:
        return random_value(rng.choice(args), rng)
    kind = getattr(kind, "__supertype__", kind)
    if kind in SCALARS:
        return rng.choice(SCALARS[kind])
    if issubclass(kind, Enum):
        return rng.choice(list(kind))
    hints = typing.get_type_hints(kind)
    return kind(**{name: random_value(hint, rng) for name, hint in hints.items()})


class TestHostileMessages:
    """Envelopes that decode but make no sense must not disturb any process."""

    @pytest.mark.parametrize("seed", [1, 2])
    def test_random_messages_do_not_stop_entries_or_agents(self, seed):
        rng = random.Random(seed)
        kinds = typing.get_args(messages.AnyMessage)

        async def main():
            async with trio.open_nursery() as nursery:
                fleet = VirtualFleet(nursery, seed, FleetShape(entries=2, agents=2))
                await fleet.start()
                targets = [fleet.entries["entry-1"], fleet.agents["agent-1"]]
                for number in range(MESSAGES):
                    message = random_value(rng.choice(kinds), rng)
                    # These two are valid orders that an agent must obey.
                    if not isinstance(message, messages.Fence | messages.Bar):
                        await send(rng, rng.choice(targets), message)
                    if number % 40 == 0:
                        request = HttpRequest("GET", "/s/voting/x?run_ms=20")
                        assert (await fleet.call("entry-1", request)).status == 200
                for target in targets:
                    assert target.mailer.counters.received["Granted"]
                nursery.cancel_scope.cancel()

        run_virtual(main, seed)


async def send(rng, process, message):
    envelope = messages.Envelope(1, rng.choice(SENDERS), 0, [message])
    network = process.mailer.link.network
    link = network.link(f"tcp://noise-{rng.getrandbits(40)}")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        await link.wait_open()
        await link.send(process.address, messages.encode(envelope))
        await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
