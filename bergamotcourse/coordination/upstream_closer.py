"""Notifies agents of the upstreams that the configuration in force closes."""

from bergamotcourse.coordination.agents import AgentDirectory, AgentView
from bergamotcourse.coordination.permits import Permits
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.protocol.messages import CloseUpstreams
from bergamotcourse.state.manifest import Manifest


class UpstreamCloser:
    """Keeps agents and the directory in line with the configuration in force.

    Agents are sent their closed upstreams; the directory gets the permitted ones. An
    agent without closed upstreams, now or before, gets no message.
    """

    def __init__(self, directory: AgentDirectory, mailer: Mailer):
        self.directory = directory
        self.mailer = mailer

    def take_manifest(self, version: ConfigVersion, manifest: Manifest) -> None:
        """Apply a new configuration."""
        self.directory.apply_permits(Permits(version, manifest))
        self.sync_all()

    def sync_all(self) -> None:
        """Notify all agents whose closed upstreams differ from the configuration."""
        for view in self.directory:
            self.sync_agent(view)

    def sync_agent(self, view: AgentView) -> None:
        """Notify an agent if its closed upstreams differ from the configuration."""
        permits, state = self.directory.permits, view.state
        if permits is None or state is None or not view.attached:
            return
        wanted = permits.closed(state, state.upstreams)
        have = sorted(one.id for one in state.upstreams if one.closed)
        if wanted != have and state.closed_version <= permits.version:
            self.mailer.post(view.address, CloseUpstreams(permits.version, wanted))
