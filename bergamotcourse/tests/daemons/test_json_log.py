import json
import math
import os

from bergamotcourse.daemons.json_log import LINES_PER_SECOND, JsonLog


def lines_of(fd):
    os.set_blocking(fd, False)
    try:
        return [json.loads(line) for line in os.read(fd, 1 << 20).splitlines()]
    except BlockingIOError:
        return []


class TestJsonLog:
    def test_writes_one_line_for_each_event(self):
        reader, writer = os.pipe()
        log = JsonLog("entry-1", writer)
        log.sink("job.taken", {"request": "a", "tasks": 2})
        log.flush()
        [line] = lines_of(reader)
        assert line["event"] == "job.taken"
        assert line["node"] == "entry-1"
        assert line["request"] == "a"

    def test_lines_beyond_rate_limit_are_omitted_and_counted(self):
        reader, writer = os.pipe()
        seconds = [1.0]
        log = JsonLog("entry-1", writer, lambda: seconds[0])
        for number in range(LINES_PER_SECOND + 7):
            log.sink("run.end", {"number": number})
        log.sink("job.taken", {})
        seconds[0] = 2.0
        log.flush()
        lines = lines_of(reader)
        ends = [line for line in lines if line["event"] == "run.end"]
        assert len(ends) == LINES_PER_SECOND
        assert [line["event"] for line in lines[-2:]] == ["job.taken", "log.omitted"]
        assert lines[-1]["kinds"] == {"run.end": 7}

    def test_stalled_reader_does_not_block_process(self):
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        log = JsonLog("entry-1", writer)
        for _ in range(40):
            log.lines += [b"x" * 1000 + b"\n"] * 1000
            log.flush()
        assert len(log.unwritten) > 0
        log.lines.clear()
        log.sink("job.taken", {})
        assert log.dropped or log.lines
        os.close(reader)

    def test_closed_pipe_discards_lines_without_error(self):
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        os.close(reader)
        log = JsonLog("entry-1", writer)
        log.sink("job.taken", {})
        log.flush()
        assert log.unwritten == b""

    def test_event_that_cannot_be_encoded_is_named_and_hides_no_other(self):
        reader, writer = os.pipe()
        log = JsonLog("entry-1", writer)
        nested = []
        for _ in range(100_000):
            nested = [nested]
        log.sink("report.skipped", {"why": "\ud800"})
        log.sink("config.malformed", {"detail": nested})
        log.sink("job.taken", {"request": "a", "number": 10**30, "share": math.nan})
        log.flush()
        odd, deep, line = lines_of(reader)
        assert (odd["event"], odd["not_logged"]) == (
            "report.skipped",
            "UnicodeEncodeError",
        )
        assert (deep["event"], deep["not_logged"]) == (
            "config.malformed",
            "RecursionError",
        )
        assert line["request"] == "a"
