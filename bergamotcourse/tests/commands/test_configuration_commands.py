from contextlib import asynccontextmanager

import msgspec
import pytest
import trio
from expression import Error

from bergamotcourse.commands.apply import apply
from bergamotcourse.commands.audit import audit, audit_verify
from bergamotcourse.commands.connect import open_platform, parse_address
from bergamotcourse.commands.diff import diff, diff_files
from bergamotcourse.commands.exit_codes import ExitCode
from bergamotcourse.commands.output import echo_accepted
from bergamotcourse.commands.rollback import rollback
from bergamotcourse.commands.validate import validate, validate_settings
from bergamotcourse.coordination.config_rows import read_head_row, record_key
from bergamotcourse.protocol.platform import Write
from bergamotcourse.standins.platform import serve_platform
from bergamotcourse.standins.platform_store import MemoryPlatform, failed
from bergamotcourse.state.settings import ProcessKind
from bergamotcourse.tests.configs import EXAMPLES

ADDRESS = "10.0.0.1:9000"
TEXT = (EXAMPLES / "manifest.yaml").read_text()


class Bench:
    """A platform, and files with releases of the example manifest."""

    def __init__(self, directory):
        self.platform = MemoryPlatform()
        self.directory = directory

    @asynccontextmanager
    async def open(self, address):
        assert address == ADDRESS
        yield self.platform

    def file(self, release):
        path = self.directory / f"{release}.yaml"
        path.write_text(TEXT.replace('"2026.04.2"', release))
        return str(path)

    def apply(self, release, reviewed, json=False, who="ane"):
        file = self.file(release)
        return apply(file, ADDRESS, reviewed, who, "why", json=json, opener=self.open)


@pytest.fixture
def bench(tmp_path):
    return Bench(tmp_path)


class TestValidate:
    def test_a_valid_manifest(self, capsys):
        assert validate(str(EXAMPLES / "manifest.yaml")) == ExitCode.OK
        assert "valid, digest" in capsys.readouterr().out

    def test_an_invalid_one_names_all_errors(self, tmp_path, capsys):
        path = tmp_path / "m.yaml"
        path.write_text("release: r1\nteems: []\nwrite_ahead: 3\n")
        assert validate(str(path)) == ExitCode.INVALID
        assert "did you mean 'teams'" in capsys.readouterr().err
        assert validate(str(path), json=True) == ExitCode.INVALID
        issues = msgspec.json.decode(capsys.readouterr().out)
        assert [issue["severity"] for issue in issues].count("error") == 2

    def test_settings(self, capsys):
        file = str(EXAMPLES / "entry.yaml")
        assert validate_settings(file, ProcessKind.ENTRY) == ExitCode.OK
        assert validate_settings(file, ProcessKind.AGENT) == ExitCode.INVALID
        assert "unknown key 'retention_seconds'" in capsys.readouterr().err


class TestDiff:
    def test_against_the_accepted_manifest(self, bench, capsys):
        bench.apply("r1", 0)
        assert diff(bench.file("r1"), ADDRESS, opener=bench.open) == ExitCode.OK
        assert diff(bench.file("r2"), ADDRESS, opener=bench.open) == ExitCode.DIFFERENT
        out = capsys.readouterr().out
        assert "compared with accepted version 1" in out
        assert '~ manifest.release: "r1" -> "r2"' in out

    def test_of_two_files(self, bench, capsys):
        code = diff_files(bench.file("r1"), bench.file("r2"), json=True)
        assert code == ExitCode.DIFFERENT
        (change,) = msgspec.json.decode(capsys.readouterr().out)["changes"]["changed"]
        assert (change["old"], change["new"]) == ("r1", "r2")

    def test_of_a_platform_that_is_down(self, bench, capsys):
        bench.platform.faults.down = True
        code = diff(bench.file("r1"), ADDRESS, opener=bench.open)
        assert code == ExitCode.UNREACHABLE
        assert "store with platform: down" in capsys.readouterr().err


class TestApply:
    def test_accepts_once(self, bench, capsys):
        assert bench.apply("r1", 0) == ExitCode.OK
        assert bench.apply("r1", 0) == ExitCode.OK
        out = capsys.readouterr().out
        assert "accepted as version 1" in out
        assert "unchanged: in force as version 1" in out

    def test_tells_who_won_a_race(self, bench, capsys):
        bench.apply("r1", 0)
        bench.apply("r2", 1, who="jon")
        capsys.readouterr()
        assert bench.apply("r3", 1) == ExitCode.LOST_RACE
        err = capsys.readouterr().err
        assert "jon changed the configuration to version 2" in err
        assert '"r1" -> "r2"' in err
        assert bench.apply("r3", 1, json=True) == ExitCode.LOST_RACE
        assert msgspec.json.decode(capsys.readouterr().out)["who"] == "jon"

    def test_an_answer_that_stays_lost_is_in_doubt(self, capsys):
        code = echo_accepted(Error(failed("answer lost", None)), json=False)
        assert code == ExitCode.IN_DOUBT
        assert "run the same command again" in capsys.readouterr().err

    def test_an_address_that_is_no_ip_number_is_refused(self, bench, capsys):
        code = apply(bench.file("r1"), "db:1", 0, "ane", "why")
        assert code == ExitCode.INVALID
        assert "'db:1' is not IP:PORT" in capsys.readouterr().err


class TestRollback:
    def test_brings_back_the_content(self, bench, capsys):
        bench.apply("r1", 0)
        bench.apply("r2", 1)
        code = rollback(1, ADDRESS, "ane", "why", opener=bench.open)
        assert code == ExitCode.OK
        assert "accepted as version 3" in capsys.readouterr().out
        code = rollback(9, ADDRESS, "ane", "why", opener=bench.open)
        assert code == ExitCode.NOT_FOUND


class TestAudit:
    def test_shows_and_verifies_the_trail(self, bench, capsys):
        bench.apply("r1", 0)
        bench.apply("r2", 1, who="jon")
        capsys.readouterr()
        assert audit(ADDRESS, who="jon", opener=bench.open) == ExitCode.OK
        out = capsys.readouterr().out
        assert "version 2 at" in out
        assert "by jon: why" in out
        assert "version 1" not in out
        assert audit_verify(ADDRESS, opener=bench.open) == ExitCode.OK
        bench.platform.table.transact("", [Write(record_key(1), None, None)])
        capsys.readouterr()
        assert audit_verify(ADDRESS, json=True, opener=bench.open) == ExitCode.BROKEN
        report = msgspec.json.decode(capsys.readouterr().out)
        assert report["version"] == 1


class TestConnect:
    @pytest.mark.parametrize("address", ["db:1", "10.0.0.1", "10.0.0.1:0", "::1:x"])
    def test_refuses_an_address(self, address):
        assert parse_address(address).is_error()

    def test_accepts_ipv6(self):
        assert parse_address("[::1]:90").ok.host == "::1"

    def test_opens_the_platform_over_http(self):
        async def main():
            async with trio.open_nursery() as nursery:
                port = await nursery.start(serve_platform, "127.0.0.1", 0)
                async with open_platform(f"127.0.0.1:{port}") as platform:
                    _, head = (await read_head_row(platform)).ok
                assert head.version == 0
                nursery.cancel_scope.cancel()

        trio.run(main)
