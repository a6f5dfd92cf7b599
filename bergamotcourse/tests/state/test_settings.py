from pathlib import Path

import pytest

from bergamotcourse.state.reference import settings_page
from bergamotcourse.state.settings import ProcessKind, load_settings, parse_settings
from bergamotcourse.tests.configs import EXAMPLES

REFERENCE = Path(EXAMPLES).parent / "docs" / "reference" / "settings.md"
AGENT = (EXAMPLES / "agent.yaml").read_text()
ENTRY = (EXAMPLES / "entry.yaml").read_text()


class TestLoadSettings:
    @pytest.mark.parametrize("kind", ProcessKind)
    def test_example_settings_have_no_issues(self, kind):
        loaded = load_settings(EXAMPLES / f"{kind.value}.yaml", kind).ok
        assert loaded.warnings == []

    def test_omitted_settings_get_defaults(self):
        settings = parse_settings(ENTRY, "entry.yaml", ProcessKind.ENTRY).ok.settings
        assert settings.http_limits.header_bytes == 16384
        assert settings.answer_bytes == 64 * 1024 * 1024
        assert settings.neighbours == 32

    def test_missing_file_is_reported_as_issue(self, tmp_path):
        (issue,) = load_settings(tmp_path / "no.yaml", ProcessKind.ENTRY).error
        assert "No such file" in issue.detail


class TestChecksAcrossFields:
    @pytest.mark.parametrize(
        ("text", "kind", "path"),
        [
            (ENTRY.replace("heartbeat_seconds: 1", "heartbeat_seconds: 5"),)
            + (ProcessKind.ENTRY, "heartbeat_seconds"),
            (ENTRY.replace("retention_seconds: 600", "retention_seconds: 4"),)
            + (ProcessKind.ENTRY, "retention_seconds"),
            (
                ENTRY.replace("port: 8081", "port: 7400"),
                ProcessKind.ENTRY,
                "admin.port",
            ),
            (AGENT.replace("start_log_seconds: 600", "start_log_seconds: 2"),)
            + (ProcessKind.AGENT, "start_log_seconds"),
            (AGENT.replace("10.20.1.21", "0.0.0.0"), ProcessKind.AGENT, "link.host"),
        ],
    )
    def test_inconsistent_settings_are_rejected(self, text, kind, path):
        (issue,) = parse_settings(text, "f.yaml", kind).error
        assert issue.path == path

    def test_too_few_heartbeats_per_lease_give_warning(self):
        text = AGENT.replace("heartbeat_seconds: 1", "heartbeat_seconds: 2")
        (issue,) = parse_settings(text, "f.yaml", ProcessKind.AGENT).ok.warnings
        assert issue.path == "heartbeat_seconds"

    def test_cross_field_errors_are_reported_with_field_errors(self):
        text = ENTRY.replace("heartbeat_seconds: 1", "heartbeat_seconds: 5")
        found = parse_settings(text + "zoo: 1\n", "f.yaml", ProcessKind.ENTRY).error
        assert [issue.path for issue in found] == ["zoo", "heartbeat_seconds"]


class TestReferencePage:
    def test_committed_settings_page_is_up_to_date(self):
        assert REFERENCE.read_text() == settings_page()
