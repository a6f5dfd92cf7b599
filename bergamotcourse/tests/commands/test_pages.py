import inspect
import re
from pathlib import Path

import bergamotcourse
from bergamotcourse.__main__ import cli
from bergamotcourse.commands.exit_codes import ExitCode

REFERENCE = Path(bergamotcourse.__file__).parents[1] / "docs" / "reference"


class TestPages:
    def test_exit_code_page_matches_the_enum(self):
        doc = inspect.cleandoc(ExitCode.__doc__).replace("``", "`")
        documented = re.findall(r"^    ([A-Z_]+): (.*)$", doc, re.MULTILINE)
        assert [name for name, _ in documented] == [code.name for code in ExitCode]
        rows = [
            f"| {int(ExitCode[name])} | `{name}` | {text} |"
            for name, text in documented
        ]
        page = (REFERENCE / "exit-codes.md").read_text().splitlines()
        assert [line for line in page if re.match(r"\| \d", line)] == rows

    def test_command_page_lists_every_command(self):
        page = (REFERENCE / "commands.md").read_text()
        listed = re.findall(r"^\| `(\w+)", page, re.MULTILINE)
        assert sorted(listed) == sorted(cli.commands)
