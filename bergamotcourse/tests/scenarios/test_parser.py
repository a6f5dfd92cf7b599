import pytest

from bergamotcourse.scenarios import commands as c
from bergamotcourse.scenarios.parser import ScenarioError, parse, parse_line


class TestParseLine:
    @pytest.mark.parametrize(
        ("line", "command"),
        [
            ("fleet entries 2 lease 1.5", c.Fleet(entries=2, lease=1.5)),
            (
                "submit vote session via entry-1 key opaque of entry-2 run 0.5",
                c.Submit("vote", "entry-1", 0, c.KeyKind.OPAQUE, "entry-2", 0.5),
            ),
            (
                "submit a job of 3 via entry-1 timeout 4 idempotent",
                c.Submit("a", "entry-1", 3, timeout=4.0, idempotent=True),
            ),
            ("resubmit a via entry-2 as b", c.Resubmit("a", "entry-2", "b")),
            ("cut entry-1 -> agent-2", c.Cut("entry-1", "agent-2")),
            ("cut entry-1 agent-2", c.Cut("entry-1", "agent-2", both=True)),
            (
                "before entry-1 sends Start: freeze entry-1",
                c.Trap(c.When.BEFORE, "entry-1", "Start", c.Freeze("entry-1")),
            ),
            ("lose next Answer of entry-2", c.LoseNext("entry-2", "Answer")),
            (
                "expect a is done or not_run within 2",
                c.ExpectOutcome("a", frozenset({"done", "not_run"}), 2.0),
            ),
            ("expect no work at agent-1 after 3", c.ExpectNoWork("agent-1", 3.0)),
        ],
    )
    def test_line_parses_to_command(self, line, command):
        assert parse_line(line) == command

    @pytest.mark.parametrize(
        "line",
        [
            "explode entry-1",
            "kill upstream-1",
            "fleet entries",
            "fleet entries many",
            "fleet masts 3",
            "submit a job of 3 via entry-1 key none",
            "submit a session via entry-1 colour blue",
            "before entry-1 sends Greeting: kill entry-1",
            "expect a is fine",
        ],
    )
    def test_invalid_line_raises_scenario_error(self, line):
        with pytest.raises(ScenarioError):
            parse_line(line)


class TestParse:
    def test_comments_and_empty_lines_are_skipped(self):
        steps = parse("# what\n\nwait 1 # a while\n").ok
        assert steps == [c.Step(3, "wait 1", c.Wait(1.0))]

    def test_all_errors_are_reported_with_line_numbers(self):
        errors = parse("wait 1\nfleet\nnonsense\n", "x").error
        assert [fault.split(" ")[0] for fault in errors] == ["x:3:", "x:2:"]
