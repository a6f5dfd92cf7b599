"""``rollback``: restore the content of an earlier version as a new version."""

from expression import Result

from bergamotcourse.commands.announce import with_announcement
from bergamotcourse.commands.connect import Opener, call_platform, open_platform
from bergamotcourse.commands.output import echo_apply_outcome
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
    """Restore the content of an earlier version; return the exit code.

    Args:
        to_version: The version whose content is restored.
        platform: Address of the platform, ``IP:PORT``.
        who: Author of the change, for the audit trail.
        reason: Reason for the change, for the audit trail.
        reviewed_version: The version that must be the newest; ``None`` for any.
        dry_run: Compare only.
        json: Write JSON instead of text.
        opener: Opens the connection to the platform.
    """
    reviewed = None if reviewed_version is None else ConfigVersion(reviewed_version)

    async def run(store: Platform) -> Result[ApplyOutcome, StepError]:
        return await config_store.rollback(
            store, ConfigVersion(to_version), who, reason, reviewed, dry_run
        )

    change = with_announcement(platform, run)
    return echo_apply_outcome(call_platform(platform, opener, change), json)
