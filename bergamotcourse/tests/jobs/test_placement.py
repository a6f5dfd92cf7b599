from bergamotcourse.coordination.jobs.agent_link import AgentLink
from bergamotcourse.coordination.jobs.placement import PlacementRequest, choose
from bergamotcourse.ids import LinkAddress
from bergamotcourse.protocol.task_messages import AgentRoom
from bergamotcourse.protocol.upstream_orders import RunKey
from bergamotcourse.state.job_spec import StepSpec, TaskName
from bergamotcourse.state.resources import NOTHING, Resources

CAPACITY = Resources(32_000, 65_536, 0)
NEEDS = Resources(3_100, 64, 0)


def make_link(name, used=0, zone="north", service="votes", labels=()):
    link = AgentLink(LinkAddress(f"tcp://{name}"), name, zone)
    link.room = AgentRoom(
        service=service,
        labels=labels,
        capacity=CAPACITY,
        committed=Resources(used, 0, 0),
        yours=NOTHING,
        on_trial=False,
    )
    return link


def make_request(avoid=(), zone="north", label=""):
    return PlacementRequest(
        "votes", StepSpec(1, NEEDS, 0.2, (), label), frozenset(avoid), zone
    )


def chosen(links, **request):
    link = choose(links, make_request(**request))
    return link and link.name


class TestChoose:
    def test_the_emptier_of_equals(self):
        assert chosen([make_link("a", 9_000), make_link("b", 3_000)]) == "b"

    def test_the_own_zone_of_equals(self):
        assert chosen([make_link("a", zone="south"), make_link("b")]) == "b"

    def test_none_that_has_no_room(self):
        assert chosen([make_link("a", 30_000)]) is None

    def test_none_of_another_service(self):
        assert chosen([make_link("a", service="loans")]) is None

    def test_none_where_it_failed(self):
        assert chosen([make_link("a"), make_link("b", 9_000)], avoid=["a"]) == "b"

    def test_only_those_with_the_label(self):
        links = [make_link("a"), make_link("b", 9_000, labels=("gpu", "r1"))]
        assert chosen(links, label="gpu") == "b"

    def test_counts_what_was_just_placed(self):
        a, b = make_link("a"), make_link("b", 1_000)
        a.add(RunKey(TaskName("t"), 1), NEEDS, "owner")
        assert chosen([a, b]) == "b"
        a.drop(RunKey(TaskName("t"), 1))
        assert chosen([a, b]) == "a"
