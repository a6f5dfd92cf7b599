from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.coordination.jobs.placement import (
    PlacementRequest,
    choose_in_contact,
)
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import AgentRoom
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.job_spec import StepSpec, TaskName
from bergamotcourse.state.resources import NO_RESOURCES, Resources

CAPACITY = Resources(32_000, 65_536, 0)
NEEDS = Resources(3_100, 64, 0)


def make_link(name, used=0, zone="north", service="votes", labels=()):
    link = AgentLink(LinkAddress(f"tcp://{name}"), name, zone)
    link.room = AgentRoom(
        service=service,
        labels=labels,
        capacity=CAPACITY,
        committed=Resources(used, 0, 0),
        receiver_committed=NO_RESOURCES,
        on_trial=False,
    )
    return link


def make_request(avoid=(), zone="north", label=""):
    return PlacementRequest(
        "votes", StepSpec(1, NEEDS, 0.2, (), label), frozenset(avoid), zone
    )


def chosen_name(links, **request):
    link = choose_in_contact(links, make_request(**request))
    return link and link.name


class TestChooseInContact:
    def test_prefers_less_loaded_agent(self):
        assert chosen_name([make_link("a", 9_000), make_link("b", 3_000)]) == "b"

    def test_prefers_own_zone_at_equal_load(self):
        assert chosen_name([make_link("a", zone="south"), make_link("b")]) == "b"

    def test_rejects_agent_without_room(self):
        assert chosen_name([make_link("a", 30_000)]) is None

    def test_rejects_agent_of_another_service(self):
        assert chosen_name([make_link("a", service="loans")]) is None

    def test_skips_avoided_agent(self):
        assert chosen_name([make_link("a"), make_link("b", 9_000)], avoid=["a"]) == "b"

    def test_requires_label(self):
        links = [make_link("a"), make_link("b", 9_000, labels=("gpu", "r1"))]
        assert chosen_name(links, label="gpu") == "b"

    def test_counts_pending_runs_as_load(self):
        a, b = make_link("a"), make_link("b", 1_000)
        a.add_run(RunKey(TaskName("t"), 1), NEEDS, "owner")
        assert chosen_name([a, b]) == "b"
        a.remove_run(RunKey(TaskName("t"), 1))
        assert chosen_name([a, b]) == "a"
