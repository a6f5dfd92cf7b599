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
from bergamotcourse.commands.output import echo_apply_outcome
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


class ConfigCommandHarness:
    """An in-memory platform and files with releases of the example manifest."""

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
def harness(tmp_path):
    return ConfigCommandHarness(tmp_path)


class TestValidate:
    def test_valid_manifest_passes(self, capsys):
        assert validate(str(EXAMPLES / "manifest.yaml")) == ExitCode.OK
        assert "valid, digest" in capsys.readouterr().out

    def test_invalid_manifest_reports_all_errors(self, tmp_path, capsys):
        path = tmp_path / "m.yaml"
        path.write_text("release: r1\nteems: []\nwrite_ahead: 3\n")
        assert validate(str(path)) == ExitCode.INVALID
        assert "did you mean 'teams'" in capsys.readouterr().err
        assert validate(str(path), json=True) == ExitCode.INVALID
        issues = msgspec.json.decode(capsys.readouterr().out)
        assert [issue["severity"] for issue in issues].count("error") == 2

    def test_settings_are_checked_for_the_process_kind(self, capsys):
        file = str(EXAMPLES / "entry.yaml")
        assert validate_settings(file, ProcessKind.ENTRY) == ExitCode.OK
        assert validate_settings(file, ProcessKind.AGENT) == ExitCode.INVALID
        assert "unknown key 'retention_seconds'" in capsys.readouterr().err


class TestDiff:
    def test_compares_with_the_accepted_manifest(self, harness, capsys):
        harness.apply("r1", 0)
        assert diff(harness.file("r1"), ADDRESS, opener=harness.open) == ExitCode.OK
        assert (
            diff(harness.file("r2"), ADDRESS, opener=harness.open) == ExitCode.DIFFERENT
        )
        out = capsys.readouterr().out
        assert "compared with accepted version 1" in out
        assert '~ manifest.release: "r1" -> "r2"' in out

    def test_compares_two_files(self, harness, capsys):
        code = diff_files(harness.file("r1"), harness.file("r2"), json=True)
        assert code == ExitCode.DIFFERENT
        (change,) = msgspec.json.decode(capsys.readouterr().out)["changes"]["changed"]
        assert (change["old"], change["new"]) == ("r1", "r2")

    def test_unavailable_platform_is_unreachable(self, harness, capsys):
        harness.platform.faults.down = True
        code = diff(harness.file("r1"), ADDRESS, opener=harness.open)
        assert code == ExitCode.UNREACHABLE
        assert "store with platform: down" in capsys.readouterr().err


class TestApply:
    def test_repeated_apply_is_accepted_once(self, harness, capsys):
        assert harness.apply("r1", 0) == ExitCode.OK
        assert harness.apply("r1", 0) == ExitCode.OK
        out = capsys.readouterr().out
        assert "accepted as version 1" in out
        assert "unchanged: in force as version 1" in out

    def test_lost_race_reports_the_winning_change(self, harness, capsys):
        harness.apply("r1", 0)
        harness.apply("r2", 1, who="jon")
        capsys.readouterr()
        assert harness.apply("r3", 1) == ExitCode.LOST_RACE
        err = capsys.readouterr().err
        assert "jon changed the configuration to version 2" in err
        assert '"r1" -> "r2"' in err
        assert harness.apply("r3", 1, json=True) == ExitCode.LOST_RACE
        assert msgspec.json.decode(capsys.readouterr().out)["who"] == "jon"

    def test_lost_platform_answer_is_in_doubt(self, capsys):
        code = echo_apply_outcome(Error(failed("answer lost", None)), json=False)
        assert code == ExitCode.IN_DOUBT
        assert "run the same command again" in capsys.readouterr().err

    def test_host_name_as_platform_address_is_refused(self, harness, capsys):
        code = apply(harness.file("r1"), "db:1", 0, "ane", "why")
        assert code == ExitCode.INVALID
        assert "'db:1' is not IP:PORT" in capsys.readouterr().err


class TestRollback:
    def test_restores_an_earlier_version_and_rejects_an_unknown_one(
        self, harness, capsys
    ):
        harness.apply("r1", 0)
        harness.apply("r2", 1)
        code = rollback(1, ADDRESS, "ane", "why", opener=harness.open)
        assert code == ExitCode.OK
        assert "accepted as version 3" in capsys.readouterr().out
        code = rollback(9, ADDRESS, "ane", "why", opener=harness.open)
        assert code == ExitCode.NOT_FOUND


class TestAudit:
    def test_filters_records_and_detects_a_missing_one(self, harness, capsys):
        harness.apply("r1", 0)
        harness.apply("r2", 1, who="jon")
        capsys.readouterr()
        assert audit(ADDRESS, who="jon", opener=harness.open) == ExitCode.OK
        out = capsys.readouterr().out
        assert "version 2 at" in out
        assert "by jon: why" in out
        assert "version 1" not in out
        assert audit_verify(ADDRESS, opener=harness.open) == ExitCode.OK
        harness.platform.table.transact("", [Write(record_key(1), None, None)])
        capsys.readouterr()
        assert audit_verify(ADDRESS, json=True, opener=harness.open) == ExitCode.BROKEN
        report = msgspec.json.decode(capsys.readouterr().out)
        assert report["version"] == 1


class TestConnect:
    @pytest.mark.parametrize("address", ["db:1", "10.0.0.1", "10.0.0.1:0", "::1:x"])
    def test_malformed_address_is_refused(self, address):
        assert parse_address(address).is_error()

    def test_bracketed_ipv6_address_is_accepted(self):
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
