import pytest

from bergamotcourse.errors import BergamotcourseError
from bergamotcourse.platform.settings_file import parse_settings, read_settings
from bergamotcourse.state.node_settings import Endpoint

ENTRY = """
node_name=edge-1
serves=edge,control_plane
ip=10.1.0.13
zone=north-1
listen_addrs.frontend=10.1.0.13:8161
listen_addrs.ready=10.1.0.13:8167
listen_addrs.control_plane=10.1.0.13:8166
internal_ports=7720,7735
seed_nodes=10.1.0.13:8166,10.2.0.30:8166
bounds.grace_s=6
platform.address=10.200.1.7:8169
some.new.field=whatever
"""


class TestParseSettings:
    def test_settings_of_an_entry(self):
        settings = parse_settings(ENTRY)
        assert settings.name == "edge-1"
        assert settings.link == Endpoint("10.1.0.13", 7720)
        assert settings.callers == Endpoint("10.1.0.13", 8161)
        assert settings.readiness == Endpoint("10.1.0.13", 8167)
        assert settings.store == Endpoint("10.200.1.7", 8169)
        assert settings.seeds == (
            Endpoint("10.1.0.13", 7720),
            Endpoint("10.2.0.30", 7720),
        )
        assert settings.stop_seconds == 6.0

    def test_agent_has_no_address_for_callers(self):
        text = ENTRY.replace("serves=edge,control_plane", "serves=side")
        assert parse_settings(text).callers is None

    def test_empty_seed_list_is_valid(self):
        text = ENTRY.replace("seed_nodes=10.1.0.13:8166,10.2.0.30:8166", "seed_nodes=")
        assert parse_settings(text).seeds == ()

    def test_error_lists_all_faults(self):
        text = ENTRY.replace("ip=10.1.0.13\n", "\n").replace(":8169", ":port")
        with pytest.raises(ValueError) as caught:
            parse_settings(text)
        assert "ip is missing" in str(caught.value)
        assert "platform.address is not of the form" in str(caught.value)

    @pytest.mark.parametrize(
        "line",
        [
            "internal_ports=x",
            "bounds.grace_s=soon",
            "limits.cpu_share=much",
            "seed_nodes=nowhere",
        ],
    )
    def test_malformed_value_is_reported_with_its_key(self, line):
        with pytest.raises(ValueError, match=line.split("=")[0]):
            parse_settings(ENTRY + line)


class TestReadSettings:
    def test_missing_file_is_reported_in_one_line(self, tmp_path):
        with pytest.raises(BergamotcourseError) as caught:
            read_settings(str(tmp_path / "none"))
        assert "\n" not in str(caught.value)
