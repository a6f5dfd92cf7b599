"""A cluster whose connections pass through proxies."""

from dataclasses import dataclass, field

from bergamotcourse.tests.platform.cluster import Cluster
from bergamotcourse.tests.platform.soak.proxy import Proxy
from bergamotcourse.tests.platform.standins import HttpWorker

PROXY_HOST = "127.0.0.1"


@dataclass
class ProxiedCluster(Cluster):
    """A cluster with a proxy in front of each listener except inter-process links.

    The processes announce their own addresses to each other, so links bypass proxies;
    they are disturbed by pausing and killing the processes at their ends.

    Attributes:
        proxies: Proxies by their target: ``store of entry-1``, ``front of entry-1``,
            ``worker of agent-1``, ``reports to agent-1``.
    """

    proxies: dict[str, Proxy] = field(default_factory=dict)

    async def expose_address(self, name: str, address) -> tuple[str, int]:
        """Start a proxy and return its address."""
        proxy = Proxy(PROXY_HOST, address)
        self.proxies[name] = proxy
        await self.nursery.start(proxy.run)
        return proxy.host, proxy.port

    async def move_worker(self, worker: HttpWorker) -> None:
        """Give a worker another address; its former one resets connections."""
        for proxy in self.proxies.values():
            if f"{proxy.host}:{proxy.port}" == worker.address:
                proxy.refusing = True
                proxy.reset()
        port = await self.serve(worker.handle)
        worker.address = f"{PROXY_HOST}:{port}"

    async def open_fronts(self) -> None:
        """Start the proxies that callers use."""
        for node in self.entries():
            await self.expose_address(f"front of {node.name}", node.addresses["front"])
