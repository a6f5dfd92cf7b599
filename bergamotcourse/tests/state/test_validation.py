import datetime
from dataclasses import dataclass
from enum import Enum
from typing import Literal

import pytest

from bergamotcourse.state.issues import Severity
from bergamotcourse.state.schema import Format, schema_field
from bergamotcourse.state.validation import Validator
from bergamotcourse.state.yaml_text import parse_yaml


class Color(Enum):
    RED = "red"
    BLUE = "blue"


@dataclass(frozen=True, kw_only=True)
class Inner:
    port: int = schema_field("", expected="a port", low=0, high=65535)


@dataclass(frozen=True, kw_only=True)
class Outer:
    inner: Inner
    name: str = schema_field("", format=Format.NAME, may_be_empty=False)
    share: float = schema_field("", 0.5, low=0, high=1)
    weight: float = schema_field("", 1.0, above=0)
    flag: bool = True
    color: Color = Color.RED
    mode: Literal["fast", "slow"] = "fast"
    hosts: list[str] = schema_field("", factory=list, format=Format.IP)
    inners: list[Inner] = schema_field("", factory=list)
    limits: dict[str, int] = schema_field("", factory=dict, low=1)
    extra: Inner | None = None
    token: str = schema_field("", "", format=Format.SHA256, secret=True)


def issues_of(**document):
    validator = Validator("f.yaml")
    valid = {"inner": {"port": 1}, "name": "a"}
    converted = validator.convert({**valid, **document}, Outer)
    assert isinstance(converted, Outer)
    return [str(issue) for issue in validator.issues]


class TestValidator:
    def test_valid_document_has_no_issues(self):
        document = {"inner": {"port": 80}, "name": "a", "share": 1, "extra": None}
        validator = Validator("f.yaml")
        converted = validator.convert(document, Outer)
        assert validator.issues == []
        assert converted == Outer(inner=Inner(port=80), name="a", share=1.0)

    @pytest.mark.parametrize(
        ("document", "issue"),
        [
            (
                {"inner": {"port": "80a"}},
                "inner.port: '80a' is not a whole number; give a port from 0 to 65535",
            ),
            (
                {"inner": {"port": 70000}},
                "inner.port: 70000 is out of range; give a port from 0 to 65535",
            ),
            (
                {"inner": {"prot": 1, "port": 1}},
                "inner.prot: unknown key 'prot'; did you mean 'port'?",
            ),
            ({"inner": {}}, "inner.port: missing; give a port from 0 to 65535"),
            ({"inner": 3}, "inner: 3 is not a mapping; write 'key: value'"),
            (
                {"name": "a b"},
                "name: 'a b' is not a name; give a name of letters, digits, '.', '_'"
                " and '-'",
            ),
            ({"share": 2}, "share: 2 is out of range; give a number from 0 to 1"),
            (
                {"share": float("nan")},
                "share: nan is not a number; give a number from 0 to 1",
            ),
            ({"weight": 0}, "weight: 0 is out of range; give a number above 0"),
            ({"flag": "on"}, "flag: 'on' is not true or false; give true or false"),
            ({"color": "green"}, "color: 'green' is not one of: red, blue; give one"),
            ({"mode": True}, "mode: True is not one of: fast, slow; give one"),
            (
                {"hosts": ["10.0.0.1", "db"]},
                "hosts[1]: 'db' is not an IP number; give a literal IP number such as"
                " 10.0.0.1",
            ),
            ({"hosts": "db"}, "hosts: 'db' is not a list; write '- ' items"),
            (
                {"inners": [{"port": -1}]},
                "inners[0].port: -1 is out of range; give a port from 0 to 65535",
            ),
            (
                {"limits": {"a": 0}},
                "limits.a: 0 is out of range; give a whole number from 1",
            ),
            ({"mode": None}, "mode: empty value is not one of: fast, slow; give one"),
            (
                {"token": None},
                "token: empty value is not text; give the sha256 of the"
                " token as 64 lower-case hex digits, in quotes",
            ),
            ({"limits": {1: 1}}, "limits: key 1 is not text; put it in quotes"),
            (
                {"name": datetime.date(2026, 4, 2)},
                "name: 2026-04-02 is not text; put it in quotes",
            ),
        ],
    )
    def test_issue_names_path_value_and_remedy(self, document, issue):
        assert issues_of(**document) == [f"f.yaml: {issue}"]

    def test_all_errors_are_reported_at_once(self):
        found = issues_of(inner={"port": True}, name=None, share="x", colour="red")
        assert len(found) == 4

    def test_secret_value_is_not_revealed(self):
        (found,) = issues_of(token="hunter2")
        assert "hunter2" not in found
        assert "7 characters, not shown" in found

    def test_warning_is_marked_in_its_text(self):
        validator = Validator("f.yaml")
        validator.warn("a", "is odd")
        assert validator.issues[0].severity is Severity.WARNING
        assert str(validator.issues[0]) == "f.yaml: warning: a: is odd"


class TestParseYaml:
    @pytest.mark.parametrize(
        ("text", "words"),
        [
            ("a: 1\na: 2", "line 2 column 1: not YAML: key 'a' twice"),
            ("", "the file is empty"),
            ("a: [", "not YAML"),
            ("a: !!python/name:os.x", "not YAML"),
            ("? [1]\n: 2", "unhashable key"),
        ],
    )
    def test_malformed_yaml_is_rejected(self, text, words):
        (issue,) = parse_yaml(text, "f.yaml").error
        assert words in str(issue)
