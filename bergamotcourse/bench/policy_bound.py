"""A lower bound on response times: one central queue that knows every free slot.

Requests are served first come, first served, without messages and without delay other
than the round trip. It bounds what routing can reach without knowing run times in
advance.
"""

import heapq
import math

from bergamotcourse.bench.policy_figures import Figures, ResponseRatios
from bergamotcourse.bench.policy_load import arrivals
from bergamotcourse.bench.policy_run import Run, ideal_seconds, stream_seed
from bergamotcourse.bench.policy_scenarios import PRESETS, SCENARIOS


def one_queue_bound(run: Run) -> Figures:
    """Return the figures of a run's single requests under one central queue."""
    preset, scenario = PRESETS[run.preset], SCENARIOS[run.scenario]
    plan = scenario.plan(preset, run.load, run.seconds)
    pending = heapq.merge(
        *(arrivals(one, stream_seed(run, one, plan)) for one in plan.streams),
        key=lambda arrival: arrival.at,
    )
    free_at = [-math.inf] * (preset.agents * preset.slots)
    slots_to_remove = scenario.lost_agents * preset.slots
    ratios = ResponseRatios()
    for arrival in pending:
        if arrival.at >= scenario.lost_at and slots_to_remove:
            free_at = sorted(free_at)[slots_to_remove:]
            slots_to_remove = 0
        started_at = max(arrival.at, free_at[0])
        heapq.heapreplace(free_at, started_at + arrival.run_seconds)
        if 0 <= arrival.at < run.seconds:
            ideal = ideal_seconds(preset, arrival.run_seconds)
            ratios.add((started_at - arrival.at + ideal) / ideal)
    return Figures(ratios.count, ratios.mean, ratios.at(50), ratios.at(99))
