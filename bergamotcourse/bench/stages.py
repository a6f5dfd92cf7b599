"""Measure the processor time of each stage that a request passes through.

Run as ``python -m bergamotcourse.bench.stages``; it takes about 20 s. Each stage
runs in isolation in this process: the real object, with stand-ins for its neighbours
that cost next to nothing (a stream that repeats one message, a mailer that records
what is posted). Figures are processor time of all threads per task, so waiting does
not count; kernel time of HTTP is excluded, that of the links is included. The same
times are also printed relative to ``reference``, which is measured before and after
each repetition, with the function calls per task, which are counted in one more
repetition under ``cProfile``.
"""

from collections.abc import Callable
from itertools import count
from uuid import uuid4

import click
import msgspec
import trio
from expression import Ok

from bergamotcourse.bench.launcher import HOST, SERVICE, session_request
from bergamotcourse.bench.path import format_spread, job_request
from bergamotcourse.bench.stage_measure import Stage, count_calls, measure
from bergamotcourse.bench.stage_parts import (
    BODY,
    RESPONSE,
    RESPONSE_BODY,
    PostRecorder,
    RepeatingStream,
    result_for,
    start_message,
    unlimited_manifest,
    wire_request,
)
from bergamotcourse.ids import LinkAddress, SubmissionId
from bergamotcourse.protocol.job_body import answer_body, parse_job, task_request
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import (
    AgentLoad,
    Health,
    Start,
    TaskResult,
)
from bergamotcourse.state.submission import Submission, SubmissionKind, TaskRequest
from bergamotcourse.transport.http import HttpRequest, HttpResponse
from bergamotcourse.transport.http_client import HttpClient
from bergamotcourse.transport.http_connection import ServerConnection, ServerLimits
from bergamotcourse.transport.nng_link import NngLink
from bergamotcourse.virtual.fleet import FleetShape, VirtualFleet
from bergamotcourse.virtual.processes import VirtualAgent, VirtualEntry

REQUESTS = 300
JOBS = 6
JOB_TASKS = 200
AGENTS = 4


def http_server() -> Stage:
    """Return the stage in which the entry receives a request and responds."""
    wire = wire_request()
    response_headers = [("content-type", "text/plain")]

    async def answer(_: HttpRequest) -> HttpResponse:
        return HttpResponse(200, list(response_headers), RESPONSE_BODY)

    async def run() -> None:
        stream = RepeatingStream(wire, REQUESTS, ready_at_start=True)
        await ServerConnection(stream, answer, ServerLimits()).run()

    return Stage("entry: HTTP, receive and respond", run, REQUESTS)


def http_client() -> Stage:
    """Return the stage in which the agent sends a request to the upstream."""
    request = HttpRequest("POST", "/cast", [("content-type", "text/plain")], BODY)

    async def connect(host: str, port: int) -> RepeatingStream:
        return RepeatingStream(RESPONSE, REQUESTS, ready_at_start=False)

    async def run() -> None:
        client = HttpClient(HOST, 1, connect=connect)
        for _ in range(REQUESTS):
            assert (await client.request(request, 30.0)).is_ok()

    return Stage("agent: HTTP, to the upstream", run, REQUESTS)


def submission_stages(entry: VirtualEntry) -> list[Stage]:
    """Return stages that authorize, build a submission, claim its key and respond."""
    dispatcher = entry.entry.dispatcher
    prefix = entry.entry.key_prefix()

    def finish_at_once(submission: Submission) -> None:
        start = Start(submission.id, 0, 1, 1, 0, 1, 0, "", "", "", "", [], b"", 0)
        submission.finish(0, result_for(start))

    async def run_with(make: Callable[[], HttpRequest]) -> None:
        dispatcher.submit = finish_at_once
        try:
            for _ in range(REQUESTS):
                response = await entry.api.handle(make())
                assert response.status == 200, response.body
        finally:
            del dispatcher.submit

    def keyed(key: str) -> HttpRequest:
        return session_request(BODY, key, idempotent=True)

    async def without_key() -> None:
        await run_with(lambda: session_request(BODY))

    async def with_prefix() -> None:
        await run_with(lambda: keyed(f"{prefix}{uuid4().hex}"))

    async def with_key() -> None:
        await run_with(lambda: keyed(str(uuid4())))

    return [
        Stage("entry: API and submission, no key", without_key, REQUESTS),
        Stage("entry: the same and a claim, handed-out prefix", with_prefix, REQUESTS),
        Stage("entry: the same and a claim, caller's key", with_key, REQUESTS),
    ]


def dispatch_stage(entry: VirtualEntry, name: str, tasks: int, times: int) -> Stage:
    """Return a stage that queues tasks, picks agents, sends starts, handles results."""
    numbers = count()
    dispatcher = entry.entry.dispatcher
    mailer = entry.entry.mailer
    request = TaskRequest("POST", "/cast", [("content-type", "text/plain")], BODY)
    team = "barakaldo"

    def submission() -> Submission:
        identity = SubmissionId(next(numbers).to_bytes(16))
        kind = SubmissionKind.JOB if tasks > 1 else SubmissionKind.SESSION
        deadline = entry.timers.now() + 30
        work = [request] * tasks
        made = Submission(identity, kind, team, SERVICE, work, b"", deadline)
        made.grant = entry.entry.claimant.unkeyed_grant()
        return made

    async def run() -> None:
        posted = PostRecorder()
        mailer.post = posted
        try:
            for _ in range(times):
                one = submission()
                dispatcher.submit(one)
                while posted.messages:
                    start = posted.messages.pop()
                    if isinstance(start, Start):
                        dispatcher.handle_task_result(result_for(start))
                assert one.done.is_set()
        finally:
            del mailer.post

    return Stage(name, run, tasks * times)


def agent_stage(agent: VirtualAgent) -> Stage:
    """Return the stage that admits a start, runs it and posts its result.

    The upstream responds at once.
    """
    one = agent.agent
    entry = LinkAddress("tcp://127.0.0.1:1")
    answer = HttpResponse(200, [("content-type", "text/plain")], RESPONSE_BODY)
    numbers = count(1 << 64)

    async def request(*_) -> object:
        return Ok(answer)

    async def run() -> None:
        posted = PostRecorder()
        one.mailer.post = posted
        agent.upstream.request = request
        try:
            for _ in range(REQUESTS):
                token = one.start_log.issue_token(one.timers.now_ms())
                one.handle(entry, start_message(next(numbers), token))
                while not posted.has_result():
                    await trio.lowlevel.checkpoint()
                posted.messages.clear()
        finally:
            del one.mailer.post
            del agent.upstream.request

    return Stage("agent: admit, run, report", run, REQUESTS)


def link_stage(
    mailers: list[Mailer], load: AgentLoad, name: str, tasks: int, times: int
) -> Stage:
    """Return a stage that carries starts to an agent, and results with load back."""
    entry, agent = mailers
    entry_address = LinkAddress(entry.link.address)
    agent_address = LinkAddress(agent.link.address)
    outstanding = 0
    done = trio.Event()

    def answer(_: LinkAddress, message: object) -> None:
        result = msgspec.structs.replace(result_for(message), load=load)
        agent.post(entry_address, result)

    def count_result(_: LinkAddress, message: object) -> None:
        nonlocal outstanding
        outstanding -= isinstance(message, TaskResult)
        if not outstanding:
            done.set()

    async def run() -> None:
        nonlocal outstanding, done
        agent.handler, entry.handler = answer, count_result
        for _ in range(times):
            outstanding, done = tasks, trio.Event()
            for index in range(tasks):
                entry.post(agent_address, start_message(index, 0))
            await done.wait()

    return Stage(name, run, tasks * times)


def job_stage() -> Stage:
    """Return the stage that parses a job and encodes its answer."""
    content = job_request(JOB_TASKS, 0).body

    async def run() -> None:
        for _ in range(JOBS):
            job = parse_job(content).ok
            tasks = [task_request(task).ok for task in job.tasks]
            results = [result_for(start_message(n, 0)) for n in range(len(tasks))]
            answer_body(results)

    return Stage("entry: parse a job, encode its answer", run, JOB_TASKS * JOBS)


async def run() -> None:
    """Measure all stages and print the table."""
    shape = FleetShape(entries=1, agents=AGENTS, link_delay=0, caller_delay=0)
    async with trio.open_nursery() as nursery:
        fleet = VirtualFleet(nursery, shape=shape)
        await fleet.start(unlimited_manifest())
        mailers = [Mailer(NngLink(HOST, 0)) for _ in range(2)]
        for mailer in mailers:
            nursery.start_soon(mailer.run)
            await mailer.link.wait_open()
        entry, agent = fleet.entries["entry-1"], fleet.agents["agent-1"]
        load = AgentLoad(1, 1 << 60, [(1, 0, 1, 0)], [Health(0, 0, 0)])
        job = f"job of {JOB_TASKS}"
        stages = [
            http_server(),
            *submission_stages(entry),
            dispatch_stage(entry, "entry: dispatch and take the result", 1, REQUESTS),
            link_stage(mailers, load, "links: there and back, both ends", 1, REQUESTS),
            agent_stage(agent),
            http_client(),
            job_stage(),
            dispatch_stage(entry, f"entry: dispatch, {job}", JOB_TASKS, JOBS),
            link_stage(mailers, load, f"links: {job} at once", JOB_TASKS, JOBS),
        ]
        click.echo(
            "| Stage | tasks a repetition | CPU µs a task | × reference | calls |"
            "\n|---|---|---|---|---|"
        )
        for stage in stages:
            figures, ratios = await measure(stage)
            cells = [
                stage.name,
                stage.tasks,
                format_spread(figures, 1),
                format_spread(ratios, 2),
            ]
            cells.append(f"{await count_calls(stage):.0f}")
            click.echo(f"| {' | '.join(str(cell) for cell in cells)} |")
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(run)
