"""The part of the platform's adapter that both roles share."""

import os

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.platform.documents import decode_queues
from bergamotcourse.platform.settings_file import read_settings
from bergamotcourse.platform.store import Store
from bergamotcourse.state.job_spec import QueueTable
from bergamotcourse.state.node_settings import NodeSettings

SETTINGS_VARIABLE = "BERGAMOTCOURSE_CONFIG"
DEFAULT_SETTINGS_PATH = "/etc/bergamotcourse/node.conf"


class Machine:
    """The platform's adapter on one machine; implements ``Platform``.

    Attributes:
        path: Path of the settings file.
    """

    def __init__(self):
        self.path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)

    def settings(self) -> NodeSettings:
        """Read the settings file.

        Raises:
            BergamotcourseError: The file cannot be read, or has faults.
        """
        return read_settings(self.path)

    def store(self, settings: NodeSettings, log: EventLog) -> Store:
        """Return a client of the platform's store."""
        return Store(settings.store, log)

    def decode_queues(self, content: bytes) -> QueueTable:
        """Return the queues that a configuration defines.

        Raises:
            ValueError: It is malformed.
        """
        return decode_queues(content)
