from dataclasses import replace

import jsonschema
import pytest
import yaml

from bergamotcourse.state.manifest import Team, decode_manifest, digest, encode_manifest
from bergamotcourse.state.manifest_checks import parse_manifest
from bergamotcourse.state.reference import manifest_schema
from bergamotcourse.tests.configs import EXAMPLES, make_manifest

EXAMPLE = (EXAMPLES / "manifest.yaml").read_text()
TOKEN = "a" * 64
HEAD = "release: r1\n"
SERVICES = HEAD + "services: [{name: voting}]\n"


def issues_of(text):
    result = parse_manifest(text, "m.yaml")
    issues = result.error if result.is_error() else result.ok.warnings
    return [str(issue) for issue in issues]


class TestParseManifest:
    def test_example_manifest_has_no_issues(self):
        assert parse_manifest(EXAMPLE, "manifest.yaml").ok.warnings == []

    @pytest.mark.parametrize(
        ("text", "words"),
        [
            (HEAD + "services: [{name: a}, {name: a}]", "services[1].name: 'a' is ta"),
            (
                SERVICES + "teams: [{name: t, services: [votin]}]",
                "teams[0].services[0]: unknown service 'votin'; did you mean 'voting'?",
            ),
            (
                SERVICES + "job_classes: [{name: j, service: x}]",
                "job_classes[0].service: unknown service 'x'",
            ),
            (
                SERVICES + "upstreams: [{name: u, services: [x]}]",
                "upstreams[0].services[0]: unknown service 'x'",
            ),
            (
                SERVICES + f"teams: [{{name: t, credentials: ['{TOKEN}']}}]\n"
                f"operators: [{{name: o, credentials: ['{TOKEN}']}}]",
                "operators[0].credentials[0]: the same as teams[0].credentials[0]",
            ),
            (
                HEAD + "services: [{name: a, timeout_seconds: 1, declared_seconds: 2}]",
                "services[0].declared_seconds: 2 is over timeout_seconds (1)",
            ),
            (
                HEAD + "policy: {drains: [{kind: zone, name: z}, {kind: zone, name: z}"
                "]}",
                "policy.drains[1]: 'zone/z' stands as policy.drains[0] too",
            ),
            (
                HEAD + "policy: {response_weight: 2}",
                "policy.response_weight: 2 is out of range; give a weight from 0 to 1",
            ),
        ],
    )
    def test_invalid_manifest_is_rejected(self, text, words):
        assert parse_manifest(text, "m.yaml").is_error()
        assert any(words in issue for issue in issues_of(text))

    @pytest.mark.parametrize(
        ("text", "words"),
        [
            (SERVICES, "services[0].name: 'voting' has no rule in upstreams"),
            (SERVICES, "services[0].name: 'voting' is used by no team"),
            (HEAD, "operators: no operator with role admin"),
            (
                SERVICES + "teams: [{name: t, quota_starts_per_second: 0}]",
                "teams[0].quota_starts_per_second: 0 refuses all work of 't'",
            ),
            (
                HEAD + "policy: {drains: [{kind: release, name: r1}]}",
                "is the manifest's own release",
            ),
        ],
    )
    def test_suspicious_manifest_gives_warning(self, text, words):
        assert parse_manifest(text, "m.yaml").is_ok()
        assert any("warning" in issue and words in issue for issue in issues_of(text))

    def test_field_and_cross_item_errors_are_reported_together(self):
        text = SERVICES + "teams: [{name: t, weight: 0, services: [x]}]"
        found = [issue for issue in issues_of(text) if "warning" not in issue]
        assert len(found) == 2

    def test_plain_token_is_not_revealed_in_issues(self):
        text = HEAD + "operators: [{name: o, credentials: [plain-token]}]"
        assert not any("plain-token" in issue for issue in issues_of(text))


class TestCanonicalBytes:
    def test_encoding_is_independent_of_list_order_and_number_type(self):
        one = make_manifest(weight=2.0)
        teams = [*one.teams, Team(name="basauri")]
        two = replace(one, teams=teams)
        three = replace(make_manifest(weight=2), teams=list(reversed(teams)))
        assert encode_manifest(two) == encode_manifest(three)
        assert digest(two) != digest(one)

    def test_encoded_manifest_decodes_to_equal_manifest(self):
        manifest = parse_manifest(EXAMPLE, "manifest.yaml").ok.manifest
        assert decode_manifest(encode_manifest(manifest)) == manifest


class TestJsonSchema:
    def test_schema_accepts_example_manifest(self):
        jsonschema.validate(yaml.safe_load(EXAMPLE), manifest_schema())

    @pytest.mark.parametrize(
        "document",
        [
            {},
            {"release": "r", "sevices": []},
            {"release": "r", "policy": {"response_weight": 2}},
            {"release": "r", "teams": [{"name": "t", "credentials": ["plain"]}]},
        ],
    )
    def test_schema_rejects_invalid_manifest(self, document):
        with pytest.raises(jsonschema.ValidationError):
            jsonschema.validate(document, manifest_schema())
