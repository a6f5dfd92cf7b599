"""Figures measured by one run of the policy benchmark."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

RATIO_SCALE = 1000
"""Ratios are recorded in thousandths, as the histogram holds integers only."""

HIGHEST_RATIO = 10_000 * RATIO_SCALE
SIGNIFICANT_DIGITS = 3


class ResponseRatios:
    """Distribution of the ratios of response time to the ideal response time."""

    def __init__(self):
        self.histogram = HdrHistogram(1, HIGHEST_RATIO, SIGNIFICANT_DIGITS)
        self.total = 0.0
        self.count = 0

    def add(self, ratio: float) -> None:
        """Add one ratio."""
        self.total += ratio
        self.count += 1
        scaled = max(1, round(ratio * RATIO_SCALE))
        self.histogram.record_value(min(scaled, HIGHEST_RATIO))

    @property
    def mean(self) -> float:
        """Return the mean, or 0 without ratios."""
        return self.total / self.count if self.count else 0.0

    def at(self, percentile: float) -> float:
        """Return the ratio at a percentile, or 0 without ratios."""
        if not self.count:
            return 0.0
        return self.histogram.get_value_at_percentile(percentile) / RATIO_SCALE


@dataclass
class Figures:
    """The figures of one run.

    Attributes:
        tasks: Tasks of requests and jobs that arrived in the measured time.
        mean: Mean ratio of response time to the ideal, over the single requests done.
        goodput: Tasks done per second.
        refused: Share of the single requests answered "not run".
        broken: Share of the single requests with another outcome than done or not
            run: failed, unknown, or lost with their entry.
        messages: Messages between processes per task, by kind.
        envelopes: Envelopes per task.
        bytes: Bytes per task.
        platform_calls: Calls to the platform per task.
        team_p99: By team, the 99th percentile of the ratios.
        team_done: By team, requests done per second.
        extra: Figures that only some scenarios have, by name.
    """

    tasks: int = 0
    mean: float = 0.0
    p50: float = 0.0
    p99: float = 0.0
    goodput: float = 0.0
    refused: float = 0.0
    broken: float = 0.0
    messages: dict[str, float] = field(default_factory=dict)
    envelopes: float = 0.0
    bytes: float = 0.0
    platform_calls: float = 0.0
    team_p99: dict[str, float] = field(default_factory=dict)
    team_done: dict[str, float] = field(default_factory=dict)
    extra: dict[str, float] = field(default_factory=dict)

    @property
    def all_messages(self) -> float:
        """Return the number of messages of all kinds per task."""
        return sum(self.messages.values())


@dataclass
class Usage:
    """Totals that all processes have sent up to one moment."""

    messages: Counter[str]
    envelopes: int
    bytes: int
    platform_calls: int

    def since(self, earlier: "Usage") -> "Usage":
        """Return what was sent since an earlier moment."""
        return Usage(
            self.messages - earlier.messages,
            self.envelopes - earlier.envelopes,
            self.bytes - earlier.bytes,
            self.platform_calls - earlier.platform_calls,
        )
