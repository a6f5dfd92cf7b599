"""``rollback``: bring back the content of an earlier version as a new version."""

from expression import Result

from bergamotcourse.commands.announce import announced
from bergamotcourse.commands.connect import Opener, call_platform, open_platform
from bergamotcourse.commands.output import echo_accepted
from bergamotcourse.coordination import config_store
from bergamotcourse.coordination.config_store import ApplyOutcome
from bergamotcourse.errors import StepError
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.platform import Platform


def rollback(
    to_version: int,
    platform: str,
    who: str,
    reason: str,
    reviewed_version: int | None = None,
    dry_run: bool = False,
    json: bool = False,
    opener: Opener = open_platform,
) -> int:
    """Bring back an earlier version's content; return the exit code.

    Args:
        to_version: The version whose content comes back.
        platform: Address of the platform, ``IP:PORT``.
        who: Who makes the change, for the audit trail.
        reason: Why, for the audit trail.
        reviewed_version: The version that must be the newest; ``None`` for any.
        dry_run: Compare only.
        json: Write JSON.
        opener: Opens the platform.
    """
    reviewed = None if reviewed_version is None else ConfigVersion(reviewed_version)

    async def run(store: Platform) -> Result[ApplyOutcome, StepError]:
        return await config_store.rollback(
            store, ConfigVersion(to_version), who, reason, reviewed, dry_run
        )

    change = announced(platform, run)
    return echo_accepted(call_platform(platform, opener, change), json)
