"""``apply``: submit a reviewed manifest to the platform."""

from expression import Result

from bergamotcourse.commands.announce import (
    LinkOpener,
    echo_in_force,
    open_link,
    with_announcement,
)
from bergamotcourse.commands.connect import Opener, call_platform, open_platform
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.manifest_file import read_manifest_file
from bergamotcourse.commands.output import (
    echo_apply_outcome,
    echo_invalid,
    echo_issues,
)
from bergamotcourse.coordination import config_store
from bergamotcourse.coordination.config_store import ApplyOutcome
from bergamotcourse.errors import StepError
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.platform import Platform


def apply(
    file: str,
    platform: str,
    reviewed_version: int,
    who: str,
    reason: str,
    dry_run: bool = False,
    json: bool = False,
    opener: Opener = open_platform,
    wait: float = 0.0,
    link_opener: LinkOpener = open_link,
) -> int:
    """Submit a manifest to the platform; return the exit code.

    Args:
        file: The manifest, or ``-`` for stdin.
        platform: Address of the platform, ``IP:PORT``.
        reviewed_version: The version that ``diff`` compared with, 0 for none.
        who: Author of the change, for the audit trail.
        reason: Reason for the change, for the audit trail.
        dry_run: Compare only.
        json: Write JSON instead of text.
        opener: Opens the connection to the platform.
        wait: Seconds to wait for all entries to have it in force; 0 for no wait.
        link_opener: Opens the link to the entries.
    """
    loaded = read_manifest_file(file)
    if loaded.is_error():
        return echo_invalid(loaded.error, json)
    if not json:
        echo_issues(loaded.ok.warnings, json)

    async def run(store: Platform) -> Result[ApplyOutcome, StepError]:
        version = ConfigVersion(reviewed_version)
        return await config_store.apply(
            store, loaded.ok.manifest, version, who, reason, dry_run
        )

    change = with_announcement(platform, run, link_opener)
    accepted = call_platform(platform, opener, change)
    code = echo_apply_outcome(accepted, json)
    if code is not ExitCode.OK or not wait:
        return code
    return echo_in_force(accepted, platform, opener, wait, json)
