"""Measure the control traffic of an entry and an agent, idle and under load.

Run as ``python -m bergamotcourse.bench.control``. Control traffic is everything
except starts and results: heartbeats, attachments, leases, configuration, and the
calls to the platform with the HTTP overhead of each. Times are on the virtual clock.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import click
import msgspec
import trio

from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.messages import Start, TaskResult, decode
from bergamotcourse.standins.platform_store import CallKind, ClientView, MemoryPlatform
from bergamotcourse.transport.http import HttpRequest
from bergamotcourse.virtual.clock import run_virtual
from bergamotcourse.virtual.fleet import SERVICE, FleetShape, VirtualFleet

HTTP_OVERHEAD_BYTES = 230
"""Size of the heads of a request to the platform and of its response, without bodies,
counted on loopback with ``PlatformClient``."""

WARM_UP_SECONDS = 10.0
TASK_RUN_MS = 300
_encoder = msgspec.msgpack.Encoder()


@dataclass
class NodeTraffic:
    """Control traffic of one process.

    Attributes:
        sent_bytes: Bytes sent to other processes.
        received_bytes: Bytes received from other processes.
        messages: Envelopes sent that carry no start and no result.
        platform_bytes: Bytes of calls to the platform and of their responses.
        platform_calls: Calls to the platform.
    """

    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0
    platform_bytes: int = 0
    platform_calls: int = 0


@dataclass
class Meter:
    """Counts the control traffic of a fleet while it is enabled.

    Attributes:
        bytes_by_kind: Bytes of control traffic of all processes, by type of
            message.
        tasks: Results counted.
    """

    enabled: bool = False
    nodes: defaultdict[str, NodeTraffic] = field(
        default_factory=lambda: defaultdict(NodeTraffic)
    )
    bytes_by_kind: Counter[str] = field(default_factory=Counter)
    tasks: int = 0

    def count_envelope(self, sender: str, receiver: str, payload: bytes) -> None:
        """Count the control traffic in one envelope.

        Starts and results are not counted, except for the load that a result carries.
        """
        if not self.enabled:
            return
        envelope = decode(payload).ok
        control_bytes = len(payload)
        task_bytes = 0
        for message in envelope.messages:
            size = len(_encoder.encode(message))
            match message:
                case Start():
                    task_bytes += size
                case TaskResult(load=load):
                    load_bytes = len(_encoder.encode(load)) - 1 if load else 0
                    self.bytes_by_kind["load in a result"] += load_bytes
                    task_bytes += size - load_bytes
                    self.tasks += 1
                case _:
                    self.bytes_by_kind[type(message).__name__] += size
        if task_bytes:
            # An envelope that carries a start or a result would be sent anyway, so its
            # own overhead is not counted as control traffic.
            control_bytes = (
                sum(len(_encoder.encode(m)) for m in envelope.messages) - task_bytes
            )
        self.nodes[sender].sent_bytes += control_bytes
        self.nodes[receiver].received_bytes += control_bytes
        self.nodes[sender].messages += not task_bytes

    def count_platform_call(self, client: str, size: int) -> None:
        """Count one call to the platform and the HTTP overhead."""
        if self.enabled:
            self.nodes[client].platform_bytes += size + HTTP_OVERHEAD_BYTES
            self.nodes[client].platform_calls += 1


class MeteredView(ClientView):
    """One client's view of the platform that counts the client's traffic."""

    def __init__(self, platform: "MeteredPlatform", client: str):
        super().__init__(platform, client)
        self.meter = platform.meter

    async def transact_as(self, writer: str, writes: list) -> object:
        """Count the bytes of the writes, then transact."""
        self.meter.count_platform_call(
            self.client, len(_encoder.encode(writes)) - HTTP_OVERHEAD_BYTES
        )
        return await super().transact_as(writer, writes)

    async def _call(self, kind: CallKind, effect: Callable) -> object:
        answer = await super()._call(kind, effect)
        size = len(_encoder.encode(answer.ok)) if answer.is_ok() else 0
        self.meter.count_platform_call(self.client, size)
        if kind is CallKind.TRANSACT and self.meter.enabled:
            self.meter.nodes[self.client].platform_calls -= 1
        return answer


class MeteredPlatform(MemoryPlatform):
    """In-memory platform that counts the traffic of its clients."""

    def __init__(self, meter: Meter, rng: random.Random):
        self.meter = meter
        super().__init__(rng=rng)

    def view(self, client: str) -> ClientView:
        """Return the client's view of the platform; the same object on each call."""
        if client not in self.views:
            self.views[client] = MeteredView(self, client)
        return self.views[client]


@dataclass(frozen=True)
class Plan:
    """Parameters of one measurement.

    Attributes:
        rate: Requests per second to all entries together; 0 for an idle fleet.
        seconds: Length of the measurement on the virtual clock.
    """

    agents: int
    entries: int
    neighbours: int
    rate: float
    seconds: float


async def send_requests(fleet: VirtualFleet, plan: Plan, rng: random.Random) -> None:
    """Send requests during the second half of the warm-up and the measurement."""

    async def call(number: int) -> None:
        request = HttpRequest("POST", f"/s/{SERVICE}/cast?run_ms={TASK_RUN_MS}")
        request.body = f"ballot-{number}".encode()
        await fleet.call(rng.choice(list(fleet.entries)), request)

    end = trio.current_time() + WARM_UP_SECONDS / 2 + plan.seconds
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            nursery.start_soon(call, number)
            number += 1
            await trio.sleep(rng.expovariate(plan.rate))


def measure(plan: Plan, seed: int = 1) -> Meter:
    """Run a virtual fleet and return the traffic that was counted."""
    meter = Meter()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            shape = FleetShape(
                entries=plan.entries, agents=plan.agents, neighbours=plan.neighbours
            )
            fleet = VirtualFleet(nursery, seed, shape)
            fleet.platform = MeteredPlatform(meter, random.Random(seed))
            carry = fleet.network.carry

            def carry_counted(
                sender: LinkAddress, receiver: LinkAddress, payload: bytes
            ) -> None:
                meter.count_envelope(_node_name(sender), _node_name(receiver), payload)
                carry(sender, receiver, payload)

            fleet.network.carry = carry_counted
            await fleet.start()
            await trio.sleep(WARM_UP_SECONDS)
            async with trio.open_nursery() as load:
                if plan.rate:
                    load.start_soon(send_requests, fleet, plan, random.Random(seed))
                    await trio.sleep(WARM_UP_SECONDS / 2)
                meter.enabled = True
                await trio.sleep(plan.seconds)
                meter.enabled = False
            nursery.cancel_scope.cancel()

    run_virtual(main, seed)
    return meter


def _node_name(address: LinkAddress) -> str:
    return address.removeprefix("tcp://")


def print_row(plan: Plan, meter: Meter) -> None:
    """Print the means per process and second, and the maximum over all processes."""
    for kind in ("entry", "agent"):
        nodes = [t for name, t in meter.nodes.items() if name.startswith(kind)]
        count = plan.entries if kind == "entry" else plan.agents

        def mean(value: Callable[[NodeTraffic], float], nodes=nodes, n=count) -> float:
            return sum(map(value, nodes)) / n / plan.seconds

        total = [t.sent_bytes + t.received_bytes + t.platform_bytes for t in nodes] or [
            0
        ]
        click.echo(
            f"{plan.agents:6} {plan.entries:7} {plan.neighbours:5} {plan.rate:7.0f}"
            f" {kind:6} {mean(lambda t: t.sent_bytes):8.0f}"
            f" {mean(lambda t: t.received_bytes):8.0f}"
            f" {mean(lambda t: t.platform_bytes):8.0f} {max(total) / plan.seconds:9.0f}"
            f" {mean(lambda t: t.messages):7.2f}"
            f" {mean(lambda t: t.platform_calls):6.2f}"
        )
    if plan.rate and meter.tasks:
        load_bytes = meter.bytes_by_kind["load in a result"] / meter.tasks
        click.echo(f"{'':30} load in a result: {load_bytes:.1f} B a task")


@click.command()
@click.option("--agents", default="11,50,200,520")
@click.option("--entries", default=3)
@click.option("--neighbours", default=32)
@click.option("--load", default=0.3, help="Share of the slots in use; 0 for idle.")
@click.option("--most-rate", default=600.0, help="Highest rate of requests per second.")
@click.option("--seconds", default=20.0)
def main(
    agents: str,
    entries: int,
    neighbours: int,
    load: float,
    most_rate: float,
    seconds: float,
) -> None:
    """Measure the control traffic."""
    click.echo(
        "agents entries bound  rate/s node   sent B/s  recv B/s store B/s"
        "   max B/s  msgs/s calls/s"
    )
    for count in map(int, agents.split(",")):
        rates = [0.0]
        if load:
            slots = count * FleetShape().slots
            rates.append(min(most_rate, load * slots / (TASK_RUN_MS / 1000)))
        for rate in rates:
            measured_seconds = seconds if not rate else min(seconds, 6.0)
            plan = Plan(count, entries, neighbours, rate, measured_seconds)
            print_row(plan, measure(plan))


if __name__ == "__main__":
    main()
