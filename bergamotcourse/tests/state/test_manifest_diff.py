from dataclasses import replace

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from bergamotcourse.state.manifest import (
    Drain,
    DrainKind,
    Manifest,
    Policy,
    Service,
    Team,
    canonical,
    digest,
)
from bergamotcourse.state.manifest_diff import (
    Changes,
    apply_changes,
    describe_changes,
    diff_manifests,
    invert_changes,
)
from bergamotcourse.tests.configs import make_manifest

names = st.sampled_from(["a", "b", "c.d", "e"])
name_lists = st.lists(names, unique=True, max_size=3)
services = st.builds(Service, name=names, timeout_seconds=st.floats(0.1, 9))
teams = st.builds(
    Team,
    name=names,
    weight=st.floats(0.1, 9),
    credentials=name_lists,
    roles=st.just([]),
)
drains = st.builds(Drain, kind=st.sampled_from(DrainKind), name=names)
manifests = st.builds(
    Manifest,
    release=names,
    write_ahead=st.booleans(),
    services=st.lists(services, unique_by=lambda one: one.name),
    teams=st.lists(teams, unique_by=lambda one: one.name),
    policy=st.builds(
        Policy,
        response_weight=st.floats(0, 1),
        drains=st.lists(drains, unique=True, max_size=4),
    ),
).map(canonical)


class TestApplyChanges:
    @given(manifests, manifests)
    def test_delta_and_its_inverse_reproduce_both_manifests(self, old, new):
        sent = msgspec.json.encode(diff_manifests(old, new))
        changes = msgspec.json.decode(sent, type=Changes)
        after = apply_changes(old, changes).ok
        assert digest(after) == digest(new)
        assert digest(apply_changes(after, invert_changes(changes)).ok) == digest(old)

    @given(manifests)
    def test_equal_manifests_give_empty_delta(self, manifest):
        assert diff_manifests(manifest, manifest).sorted_by_path() == []

    def test_delta_for_different_manifest_is_rejected(self):
        changes = diff_manifests(make_manifest(weight=1.0), make_manifest(weight=2.0))
        result = apply_changes(make_manifest(weight=3.0), changes)
        assert "teams.getxo.weight" in result.error.detail


class TestDescribeChanges:
    def test_each_kind_of_change_is_described(self):
        old = make_manifest()
        new = replace(
            make_manifest("r2", weight=3.0),
            services=[],
            policy=Policy(drains=[Drain(kind=DrainKind.RACK, name="k1")]),
        )
        assert describe_changes(diff_manifests(old, new)) == [
            '+ drains.rack/k1: kind "rack"',
            '~ manifest.release: "r1" -> "r2"',
            "- services.voting",
            "~ teams.getxo.weight: 1.0 -> 3.0",
        ]

    def test_credentials_are_not_revealed_in_full(self):
        old = replace(make_manifest(), teams=[Team(name="t", credentials=["a" * 64])])
        new = replace(make_manifest(), teams=[Team(name="t", credentials=["b" * 64])])
        (words,) = describe_changes(diff_manifests(old, new))
        assert words == "~ teams.t.credentials: [aaaaaaaa...] -> [bbbbbbbb...]"
