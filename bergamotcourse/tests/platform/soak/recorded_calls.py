"""Single calls for a job, each on a connection of its own, with their records."""

from dataclasses import replace

import trio

from bergamotcourse.tests.platform.cluster import send_request
from bergamotcourse.tests.platform.soak.records import Attempt, Cancellation, Records
from bergamotcourse.tests.platform.soak.responses import classify_response
from bergamotcourse.transport.http import HttpRequest

CANCEL_TIMEOUT_SECONDS = 3.0

Address = tuple[str, int]


def job_of(request: HttpRequest) -> str:
    """Return the id of the job that a request submits."""
    return request.target.rpartition("/")[2]


async def cancel_job(
    records: Records, entry: str, address: Address, submission: HttpRequest
) -> bool:
    """Cancel a submitted job; return whether the entry has acknowledged it."""
    request = replace(submission, method="DELETE", body=b"")
    sent_at = trio.current_time()
    answer = await send_request(address, request, CANCEL_TIMEOUT_SECONDS)
    status = answer.ok.status if answer.is_ok() else 0
    cancellation = Cancellation(
        job_of(request),
        entry,
        sent_at,
        trio.current_time(),
        acknowledged=status == 200,
        gone=status == 410,
    )
    records.cancellations.append(cancellation)
    return cancellation.acknowledged


async def submit_job_again(
    records: Records,
    entry: str,
    address: Address,
    request: HttpRequest,
    timeout: float,
) -> None:
    """Submit a job that was submitted before."""
    sent_at = trio.current_time()
    answer = await send_request(address, request, timeout)
    outcome, status = classify_response(answer)
    records.count("submit again")
    records.attempts.append(
        Attempt(job_of(request), entry, sent_at, trio.current_time(), outcome, status)
    )
