"""What the platform tells every process on a machine; both roles build on it."""

import os

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.platform.documents import decode_queues
from bergamotcourse.platform.settings_file import read_settings
from bergamotcourse.platform.store import Store
from bergamotcourse.state.job_spec import QueueTable
from bergamotcourse.state.node_settings import NodeSettings

SETTINGS_VARIABLE = "BERGAMOTCOURSE_CONFIG"
DEFAULT_SETTINGS = "/etc/bergamotcourse/node.conf"


class Machine:
    """A machine of the platform, known by its settings file; implements ``Platform``.

    Attributes:
        path: Of the settings file.
    """

    def __init__(self):
        self.path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)

    def settings(self) -> NodeSettings:
        """Read the settings anew."""
        return read_settings(self.path)

    def store(self, settings: NodeSettings, log: EventLog) -> Store:
        """Return a client of the store."""
        return Store(settings.store, log)

    def decode_queues(self, content: bytes) -> QueueTable:
        """Decode a configuration."""
        return decode_queues(content)
