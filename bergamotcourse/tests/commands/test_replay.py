from click.testing import CliRunner

from bergamotcourse.__main__ import cli
from bergamotcourse.commands.exit_codes import ExitCode

LOAD = """
kinds: [{name: check, share: 1, tasks: 2, work: 0.1}]
load: 0.3
seconds: 0.5
agents: 2
"""


def run(tmp_path, *options):
    file = tmp_path / "load.yaml"
    file.write_text(LOAD)
    arguments = ["replay", str(file), "--seeds", "1", "--jobs", "1", *options]
    return CliRunner().invoke(cli, arguments)


class TestReplay:
    def test_prints_a_line_for_each_policy_and_each_kind(self, tmp_path):
        done = run(tmp_path, "--without", "moves_runs")
        assert done.exit_code == ExitCode.OK
        lines = [line.split()[0] for line in done.output.splitlines()]
        assert lines == ["policy", "all", "without", "kind", "check"]

    def test_bound_is_printed_beside_the_worth_of_each_policy(self, tmp_path):
        done = run(tmp_path, "--bound", "--without", "moves_runs")
        titles, *rows = done.output.splitlines()
        assert titles.split()[:3] == ["policy", "worth", "bound"]
        for row in rows[:2]:
            worth, bound = map(float, row.split()[-11:-9])
            assert worth <= bound <= 1

    def test_unknown_mechanism_is_reported_on_one_line(self, tmp_path):
        done = run(tmp_path, "--without", "luck")
        assert done.exit_code == ExitCode.INVALID
        [line] = done.output.splitlines()
        assert "no mechanism luck" in line
