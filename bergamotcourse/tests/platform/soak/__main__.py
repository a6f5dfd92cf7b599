"""Command line that runs soaks manually."""

import random
import sys
import tempfile
from pathlib import Path

import click
import trio

from bergamotcourse.tests.platform.soak.records import Variant
from bergamotcourse.tests.platform.soak.run import Result, run_soak


@click.command()
@click.option("--seeds", default=10, help="Number of soaks.")
@click.option("--first", type=int, help="First seed; random if not given.")
@click.option(
    "--seconds", default=10.0, help="Duration of fault injection in each soak."
)
@click.option("--jobs", default=3, help="Number of soaks that run concurrently.")
@click.option("--keeps-ids", is_flag=True, help="Workers restart under the same id.")
@click.option("--evacuates", is_flag=True, help="Evacuate the zones in turn.")
@click.option("--deafens", is_flag=True, help="Black-hole all connections at once.")
@click.option(
    "--delays-orders", is_flag=True, help="Leave orders of all workers unanswered."
)
@click.option(
    "--announces-leaving", is_flag=True, help="Replace workers after a short notice."
)
@click.option(
    "--kills-together", is_flag=True, help="Kill entries and agents at the same moment."
)
@click.option(
    "--freezes-entries", is_flag=True, help="Pause entries until callers have left."
)
@click.option(
    "--misreports", is_flag=True, help="Send agents late and incomplete reports."
)
@click.option("--throttles", is_flag=True, help="Give entries little processor time.")
@click.option(
    "--evacuates-together", is_flag=True, help="Change several zones at once."
)
@click.option("--loses-stops", is_flag=True, help="Leave stop orders unanswered.")
@click.option(
    "--changes-kinds", is_flag=True, help="Let workers come back with other labels."
)
@click.option(
    "--cancels", is_flag=True, help="Cancel jobs, leave, and submit them again."
)
@click.option(
    "--odd-entries", is_flag=True, help="Write rows and send reports of no use."
)
@click.option(
    "--resubmits",
    is_flag=True,
    help="Submit jobs again after their answer, and cancel them at other entries.",
)
@click.option("--entries", default=2, help="Number of entries.")
@click.option("--agents", default=3, help="Number of agents.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Folder in which logs are kept."
)
def main(
    seeds: int,
    first: int | None,
    seconds: float,
    jobs: int,
    keeps_ids: bool,
    evacuates: bool,
    deafens: bool,
    delays_orders: bool,
    announces_leaving: bool,
    kills_together: bool,
    freezes_entries: bool,
    misreports: bool,
    throttles: bool,
    evacuates_together: bool,
    loses_stops: bool,
    changes_kinds: bool,
    cancels: bool,
    odd_entries: bool,
    resubmits: bool,
    entries: int,
    agents: int,
    keep: Path | None,
):
    """Inject random faults into the real programs and check their guarantees."""
    first = random.SystemRandom().randrange(1, 10**6) if first is None else first
    with tempfile.TemporaryDirectory() as folder:
        numbers = range(first, first + seeds)
        place = keep or Path(folder)
        variant = Variant(
            keeps_ids,
            evacuates,
            deafens,
            delays_orders,
            announces_leaving,
            kills_together,
            freezes_entries,
            misreports,
            throttles,
            evacuates_together,
            loses_stops,
            changes_kinds,
            cancels,
            odd_entries,
            resubmits,
            entries,
            agents,
        )
        results = trio.run(run_all, numbers, seconds, jobs, variant, place)
    faulty = [result.seed for result in results if result.violations]
    click.echo(f"{len(results)} soaks, with violations: {faulty or 'none'}")
    sys.exit(bool(faulty))


async def run_all(
    numbers, seconds: float, jobs: int, variant: Variant, folder: Path
) -> list[Result]:
    """Run one soak per seed, at most ``jobs`` concurrently."""
    results: list[Result] = []
    limit = trio.CapacityLimiter(jobs)

    async def run_one(seed: int) -> None:
        async with limit:
            place = folder / str(seed)
            place.mkdir(parents=True)
            result = await run_soak(seed, seconds, place, variant)
        results.append(result)
        click.echo(f"seed {seed}: {result.summary}")
        for line in result.violations:
            click.echo(f"seed {seed}: {line}")

    async with trio.open_nursery() as nursery:
        for seed in numbers:
            nursery.start_soon(run_one, seed)
    return results


if __name__ == "__main__":
    main()
