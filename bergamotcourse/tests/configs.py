from datetime import UTC, datetime
from pathlib import Path

import trio
from trio.testing import MockClock

from bergamotcourse.coordination import config_store
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.state.manifest import Manifest, Service, Team

EXAMPLES = Path(__file__).parents[2] / "examples"
ACCEPTED_AT = datetime(2026, 4, 2, 12, tzinfo=UTC)


def make_manifest(release: str = "r1", weight: float = 1.0) -> Manifest:
    return Manifest(
        release=release,
        services=[Service(name="voting")],
        teams=[Team(name="getxo", weight=weight, services=["voting"])],
    )


async def accept(platform, manifest, reviewed=0, who="ane", dry_run=False):
    version = ConfigVersion(reviewed)
    return await config_store.apply(
        platform, manifest, version, who, "a reason", dry_run, lambda: ACCEPTED_AT
    )


async def accept_releases(platform, count):
    for version in range(count):
        result = await accept(platform, make_manifest(f"r{version + 1}"), version)
        assert result.ok.version == version + 1


def run(main):
    return trio.run(main, clock=MockClock(autojump_threshold=0))
