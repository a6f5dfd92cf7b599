"""Logs what an entry did in each second, and where work waited at it.

Processor time, the link and the agents delay the messages of an entry alike. The sample
tells them apart: the delay on the way in, what this process has not received or sent
yet, and what the agents have not acknowledged.
"""

from bergamotcourse.coordination.event_log import EventLog
from bergamotcourse.coordination.jobs.agent_links import AgentLinks
from bergamotcourse.coordination.jobs.job_dispatcher import JobDispatcher
from bergamotcourse.coordination.jobs.processor_lag import ProcessorLag
from bergamotcourse.coordination.timers import Timers
from bergamotcourse.protocol.mailer import Mailer
from bergamotcourse.transport.http_server import HttpServer

SAMPLE_SECONDS = 1.0


class LoadSamples:
    """Writes one ``entry.load`` event a second.

    Attributes:
        cpu_seconds: Processor time of this process as of the last sample.
        received: Messages received as of the last sample.
        bytes_received: Bytes received as of the last sample.
        sent: Messages sent as of the last sample.
        bytes_sent: Bytes sent as of the last sample.
    """

    def __init__(
        self,
        links: AgentLinks,
        jobs: JobDispatcher,
        processor: ProcessorLag,
        server: HttpServer,
        mailer: Mailer,
        timers: Timers,
        log: EventLog,
    ):
        self.links = links
        self.jobs = jobs
        self.processor = processor
        self.server = server
        self.mailer = mailer
        self.timers = timers
        self.log = log
        self.cpu_seconds = processor.process_cpu_seconds()
        self.received = self.bytes_received = 0
        self.sent = self.bytes_sent = 0
        timers.every(SAMPLE_SECONDS, "load samples", self.sample)

    async def sample(self) -> None:
        """Write a sample of the time since the last one."""
        cpu_seconds = self.processor.process_cpu_seconds()
        counters = self.mailer.counters
        received, sent = counters.received.total(), counters.sent.total()
        peaks = self.processor.take_peaks()
        window = self.links.send_window
        self.log.write(
            "entry.load",
            cpu_ms=round(1000 * (cpu_seconds - self.cpu_seconds)),
            lag_ms=round(1000 * peaks.lag),
            backlog_ms=round(1000 * peaks.backlog),
            received=received - self.received,
            bytes_received=counters.bytes_received - self.bytes_received,
            sent=sent - self.sent,
            bytes_sent=counters.bytes_sent - self.bytes_sent,
            unsent=sum(len(box.waiting) for box in self.mailer.outboxes.values()),
            in_flight=self.links.in_flight_bytes(),
            window=round(window.limit_bytes) if window.is_limited else None,
            round_trip_ms=round(1000 * window.delay_seconds(self.timers.now())),
            inbound_ms=self.links.take_inbound_delay_ms(),
            connections=self.server.open_connections,
            waiting=len(self.jobs.waiting),
        )
        self.cpu_seconds = cpu_seconds
        self.received, self.bytes_received = received, counters.bytes_received
        self.sent, self.bytes_sent = sent, counters.bytes_sent
