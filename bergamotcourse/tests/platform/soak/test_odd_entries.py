"""The rows of other programs that the soak writes."""

import random
from pathlib import Path
from types import SimpleNamespace

import pytest

from bergamotcourse.tests.platform.cluster import Node
from bergamotcourse.tests.platform.odd_values import ROW_BYTES
from bergamotcourse.tests.platform.soak.odd_entries import LISTS, OddEntries
from bergamotcourse.tests.platform.soak.records import Records
from bergamotcourse.tests.platform.standins import StoreStandIn

MAX_ANSWER_BYTES = 1 << 20
"""Most bytes of an answer of the platform's store."""

HOSTS = [f"127.64.0.{number}" for number in range(1, 21)]
TRANSACTIONS = 60


def write_rows(rng):
    """Write rows in many transactions, and return the store."""
    nodes = {
        host: Node(host, "agent", host, Path(), {"link": (host, 7720)})
        for host in HOSTS
    }
    cluster = SimpleNamespace(rows=StoreStandIn(), nodes=nodes)
    writer = OddEntries(cluster, Records(), rng)
    for _ in range(TRANSACTIONS):
        writer.write_rows()
    return cluster.rows


class TestRows:
    @pytest.mark.parametrize("table", ["op", *LISTS])
    def test_a_table_fits_into_one_answer_of_the_store(self, table):
        rows = write_rows(random.Random(1))
        sizes = [
            len(value) for (name, _), (value, _) in rows.rows.items() if name == table
        ]
        assert ROW_BYTES < max(sizes) < sum(sizes) < MAX_ANSWER_BYTES
