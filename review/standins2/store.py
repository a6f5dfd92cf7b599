"""A stand-in for the platform's store: rows, transactions and the feed of changes."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from standins2.http_io import Request, Response, json_response

END_OF_KEYS = "\uffff"


class Store:
    """The rows of all tables, and the history of their changes.

    Attributes:
        rows: Value and version by table and key.
        history: All changes, in order.
        version: The newest version.
    """

    def __init__(self):
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.history: list[dict] = []
        self.version = 0
        self.changed = asyncio.Condition()

    async def write_documents(self, documents: dict[str, dict]) -> None:
        """Write rows of the operator's table by key, in one transaction."""
        rows = [
            {
                "table": "op",
                "key": key,
                "value": base64.b64encode(json.dumps(document).encode()).decode(),
            }
            for key, document in documents.items()
        ]
        await self._apply(rows, [])

    async def handle(self, request: Request) -> Response:
        """Return the response to one call."""
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path.rpartition("/")[2]:
            case "rows-tx":
                return await self._transact(request.json())
            case "rows-get":
                return self._answer(self._read(query))
            case "rows-feed":
                return self._answer(await self._wait_for_changes(query))
        return json_response({}, 404)

    async def _transact(self, entries: dict) -> Response:
        for row in entries.get("expect", []):
            version = self.rows.get((row["table"], row["key"]), ("", 0))[1]
            if version != row["ver"]:
                return json_response({"rows": []}, 412)
        await self._apply(entries.get("put", []), entries.get("remove", []))
        return self._answer([])

    async def _apply(self, put: list[dict], remove: list[dict]) -> None:
        self.version += 1
        for row in put:
            self.rows[row["table"], row["key"]] = (row["value"], self.version)
            self.history.append({**row, "part": "", "ver": self.version})
        for row in remove:
            if self.rows.pop((row["table"], row["key"]), None) is not None:
                change = {"part": "", "ver": self.version, "deleted": True}
                self.history.append({**row, **change})
        async with self.changed:
            self.changed.notify_all()

    def _read(self, query: dict) -> list[dict]:
        first, end = query.get("from", ""), query.get("to", END_OF_KEYS)
        return [
            {"table": table, "part": "", "key": key, "value": value, "ver": version}
            for (table, key), (value, version) in sorted(self.rows.items())
            if table == query["table"] and first <= key < end
        ]

    async def _wait_for_changes(self, query: dict) -> list[dict]:
        table, after = query["table"], int(query["after"])

        def changes() -> list[dict]:
            return [
                row
                for row in self.history
                if row["table"] == table and row["ver"] > after
            ]

        try:
            async with (
                asyncio.timeout(int(query.get("wait_ms", 0)) / 1000),
                self.changed,
            ):
                await self.changed.wait_for(changes)
        except TimeoutError:
            pass
        return changes()

    def _answer(self, rows: list[dict]) -> Response:
        now_ms = int(time.monotonic() * 1000)
        return json_response(
            {"rows": rows, "has_more": False, "ver": self.version, "now_ms": now_ms}
        )
