"""Injects the faults of a scenario into a virtual fleet."""

import trio

from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.messages import AnyMessage, decode
from bergamotcourse.scenarios import commands as c
from bergamotcourse.virtual.fleet import VirtualFleet
from bergamotcourse.virtual.processes import VirtualAgent, VirtualEntry

Process = VirtualEntry | VirtualAgent


class Faults:
    """Injects all faults of one scenario.

    Attributes:
        traps: Traps that wait for their messages.
        leaving_since: Times by agent at which it or its upstream began to leave.
    """

    def __init__(self, fleet: VirtualFleet, nursery: trio.Nursery):
        self.fleet = fleet
        self.nursery = nursery
        self.traps: list[c.Trap | c.LoseNext] = []
        self.leaving_since: dict[str, float] = {}
        fleet.network.tap = self._trigger_traps

    def process(self, name: str) -> Process:
        """Return a process by name."""
        return self.fleet.entries.get(name) or self.fleet.agents[name]

    def inject(self, fault: c.Fault) -> None:
        """Inject one fault."""
        fleet = self.fleet
        match fault:
            case c.Start(process=name):
                self._start(name)
            case c.Stop(process=name):
                self._record_leaving(name)
                self._stop(self.process(name))
            case c.Kill(process=name):
                self.process(name).kill()
            case c.Freeze(process=name):
                self.process(name).freeze()
            case c.Thaw(process=name):
                self.process(name).thaw()
            case c.Cut(sender=sender, receiver=receiver, both=both):
                fleet.network.cut(_address(sender), _address(receiver))
                if both:
                    fleet.network.cut(_address(receiver), _address(sender))
            case c.CutFromStore(process=name):
                fleet.platform.view(name).cut = True
            case c.HealNetwork():
                fleet.network.cut_pairs.clear()
                fleet.platform.cut_off([])
            case c.SlowUpstream(agent=name, factor=factor):
                fleet.upstreams[name].faults.slow_factor = factor
            case c.FailUpstream(agent=name):
                fleet.upstreams[name].faults.fail = True
            case c.MendUpstream(agent=name):
                fleet.upstreams[name].faults.fail = False
                fleet.upstreams[name].faults.slow_factor = 1.0
            case c.Drain(agent=name):
                self._drain(name)
            case c.Network(loss=loss, duplicate=duplicate, reorder=reorder):
                fleet.network.loss = loss
                fleet.network.duplicate = duplicate
                fleet.network.reorder = reorder
            case c.Disarm():
                self.traps.clear()
            case c.JumpClock(process=name, seconds=seconds):
                fleet.wall_clock_errors[name] = seconds
            case _:
                self._inject_store_fault(fault)

    def _inject_store_fault(self, fault: c.Fault) -> None:
        faults = self.fleet.platform.faults
        match fault:
            case c.Outage():
                faults.down = True
            case c.SlowStore(seconds=seconds):
                faults.delay = seconds
            case c.LoseAnswers(count=0):
                faults.lose_answers = True
            case c.LoseAnswers(count=count):
                faults.lose_next_answers = count
            case c.LoseCalls(share=share):
                faults.drop_calls = share
            case c.HealStore():
                faults.down = False
                faults.delay = 0.0
                faults.lose_answers = False
                faults.lose_next_answers = 0
                faults.drop_calls = 0.0

    def _start(self, name: str) -> None:
        previous = self.fleet.entries.get(name) or self.fleet.agents.get(name)
        if previous is not None:
            previous.kill()
        if name.startswith("entry"):
            self.fleet.start_entry(name)
        else:
            self.fleet.start_agent(name)
            self.leaving_since.pop(name, None)

    def _stop(self, process: Process) -> None:
        async def stop() -> None:
            await process.pause.wait_until_thawed()
            await process.stop()

        if process.nursery is not None:
            process.nursery.start_soon(stop)

    def _drain(self, name: str) -> None:
        agent = self.fleet.agents[name]
        self._record_leaving(name)
        agent.upstream.leaving = True
        for upstream in list(agent.agent.upstreams.upstreams.values()):
            agent.agent.mark_upstream_leaving(upstream)

    def _record_leaving(self, name: str) -> None:
        self.leaving_since[name] = trio.current_time()

    def _trigger_traps(
        self, sender: LinkAddress, receiver: LinkAddress, payload: bytes
    ) -> bool:
        """Trigger the traps of a payload that is about to be sent.

        Returns:
            Whether the payload is to be delivered.
        """
        if not self.traps:
            return True
        kinds = {type(message).__name__ for message in _messages(payload)}
        delivered = True
        for trap in list(self.traps):
            if _address(trap.process) != sender or trap.message not in kinds:
                continue
            self.traps.remove(trap)
            match trap:
                case c.LoseNext():
                    delivered = False
                case c.Trap(when=c.When.BEFORE, command=command):
                    self.inject(command)
                    delivered = (
                        delivered and not self.process(trap.process).ended.is_set()
                    )
                case c.Trap(command=command):
                    self.nursery.start_soon(self._inject_later, command)
        return delivered

    async def _inject_later(self, command: c.Fault) -> None:
        self.inject(command)


def _address(name: str) -> LinkAddress:
    return LinkAddress(f"tcp://{name}")


def _messages(payload: bytes) -> list[AnyMessage]:
    envelope = decode(payload)
    return envelope.ok.messages if envelope.is_ok() else []
