"""Parser of the scenario language."""

import re
from collections.abc import Callable
from dataclasses import replace

from expression import Error, Ok, Result

from bergamotcourse.protocol import messages
from bergamotcourse.scenarios import commands as c

OUTCOMES = {"done", "failed", "not_run", "unknown", "lost", "refused"}
PROCESS = r"(?:entry|agent)-\d+"
NAME = r"[A-Za-z][\w./-]*"
NUMBER = r"-?\d+(?:\.\d+)?"


class ScenarioError(ValueError):
    """A line is not a valid command."""


def parse(text: str, file: str = "scenario") -> Result[list[c.Step], list[str]]:
    """Return the steps of a scenario, or all of its errors."""
    steps: list[c.Step] = []
    errors: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):
        content = line.partition("#")[0].strip()
        if not content:
            continue
        try:
            steps.append(c.Step(number, content, parse_line(content)))
        except ScenarioError as error:
            errors.append(f"{file}:{number}: {error}")
    for step in steps[1:]:
        if isinstance(step.command, c.Fleet):
            errors.append(
                f"{file}:{step.line}: fleet is allowed only as the first command"
            )
    return Error(errors) if errors else Ok(steps)


def parse_line(line: str) -> c.Command:
    """Parse the command on a line.

    Raises:
        ScenarioError: The line is not a valid command.
    """
    trap = re.fullmatch(rf"(before|after) ({PROCESS}) sends (\w+): (.+)", line)
    if trap:
        when, process, message, command = trap.groups()
        _check_message(message)
        return c.Trap(c.When(when), process, message, parse_line(command))
    verb, _, arguments = line.partition(" ")
    if verb in OPTION_COMMANDS:
        return _parse_options(OPTION_COMMANDS[verb], arguments)
    if verb == "submit":
        return _parse_submit(arguments)
    for pattern, build in PATTERNS:
        matched = re.fullmatch(pattern, line)
        if matched:
            return build(*matched.groups())
    raise ScenarioError(f"unknown command: {line!r}")


def _parse_options(command: c.Fleet | c.Network, arguments: str) -> c.Command:
    words = arguments.split()
    if len(words) % 2:
        raise ScenarioError("give pairs of a name and a number")
    known = command.__dataclass_fields__
    options = {}
    for name, value in zip(words[::2], words[1::2], strict=True):
        if name not in known:
            raise ScenarioError(f"{name!r} is unknown; give one of {', '.join(known)}")
        options[name] = _parse_number(value, known[name].type)
    return replace(command, **options)


def _parse_number(text: str, kind: type) -> int | float:
    try:
        return kind(text)
    except ValueError:
        raise ScenarioError(f"{text!r} is not a number") from None


def _parse_submit(arguments: str) -> c.Submit:
    form = rf"({NAME}) (?:session|job of (\d+)) via ({PROCESS})(.*)"
    matched = re.fullmatch(form, arguments)
    if not matched:
        raise ScenarioError("submit NAME session|job of N via ENTRY ...")
    name, tasks, via, options = matched.groups()
    submit = c.Submit(name, via, int(tasks or 0))
    while options.strip():
        options = options.strip()
        for pattern, change in SUBMIT_OPTIONS:
            option = re.match(pattern, options)
            if option:
                submit = change(submit, *option.groups())
                options = options[option.end() :]
                break
        else:
            raise ScenarioError(f"unknown option of submit: {options!r}")
    if submit.tasks and submit.key is c.KeyKind.NONE:
        raise ScenarioError("a job needs a key")
    return submit


def _set_key(submit: c.Submit, kind: str, owner: str | None) -> c.Submit:
    return replace(submit, key=c.KeyKind(kind), key_owner=owner or "")


SUBMIT_OPTIONS: list[tuple[str, Callable[..., c.Submit]]] = [
    (rf"key (none|opaque|uuid7|handed-out)(?: of ({PROCESS}))?(?:$| )", _set_key),
    (rf"run ({NUMBER})(?:$| )", lambda s, n: replace(s, run=float(n))),
    (rf"timeout ({NUMBER})(?:$| )", lambda s, n: replace(s, timeout=float(n))),
    (r"idempotent(?:$| )", lambda s: replace(s, idempotent=True)),
]


def _check_message(name: str) -> None:
    if not isinstance(getattr(messages, name, None), type):
        raise ScenarioError(f"unknown kind of message: {name}")


def _lose_next(message: str, process: str) -> c.LoseNext:
    _check_message(message)
    return c.LoseNext(process, message)


def _expect_outcome(label: str, outcomes: str, seconds: str | None) -> c.ExpectOutcome:
    names = frozenset(outcomes.split(" or "))
    if names - OUTCOMES:
        raise ScenarioError(f"an outcome is one of {', '.join(sorted(OUTCOMES))}")
    if seconds is None:
        return c.ExpectOutcome(label, names)
    return c.ExpectOutcome(label, names, float(seconds))


OPTION_COMMANDS = {"fleet": c.Fleet(), "network": c.Network()}

PATTERNS: list[tuple[str, Callable[..., c.Command]]] = [
    (
        rf"resubmit ({NAME}) via ({PROCESS})(?: as ({NAME}))?",
        lambda name, via, label: c.Resubmit(name, via, label or ""),
    ),
    (rf"cancel ({NAME}) via ({PROCESS})", c.Cancel),
    (rf"disconnect ({NAME})", c.Disconnect),
    (rf"(?:re)?start ({PROCESS})", c.Start),
    (rf"stop ({PROCESS})", c.Stop),
    (rf"kill ({PROCESS})", c.Kill),
    (rf"freeze ({PROCESS})", c.Freeze),
    (rf"thaw ({PROCESS})", c.Thaw),
    (rf"cut ({PROCESS}) -> ({PROCESS})", c.Cut),
    (rf"cut ({PROCESS}) ({PROCESS})", lambda one, other: c.Cut(one, other, True)),
    (rf"cut ({PROCESS}) from store", c.CutFromStore),
    (r"heal", c.HealNetwork),
    (rf"slow ({PROCESS}) ({NUMBER})", lambda a, n: c.SlowUpstream(a, float(n))),
    (rf"fail ({PROCESS})", c.FailUpstream),
    (rf"mend ({PROCESS})", c.MendUpstream),
    (rf"drain ({PROCESS})", c.Drain),
    (r"disarm", c.Disarm),
    (r"outage", c.Outage),
    (rf"slow store ({NUMBER})", lambda n: c.SlowStore(float(n))),
    (r"heal store", c.HealStore),
    (r"lose answers", c.LoseAnswers),
    (r"lose (\d+) answers?", lambda n: c.LoseAnswers(int(n))),
    (rf"lose calls ({NUMBER})", lambda n: c.LoseCalls(float(n))),
    (rf"lose next (\w+) of ({PROCESS})", _lose_next),
    (rf"clock ({PROCESS}) ({NUMBER})", lambda p, n: c.JumpClock(p, float(n))),
    (rf"apply weight ({NUMBER})", lambda n: c.Apply(float(n))),
    (rf"wait ({NUMBER})", lambda n: c.Wait(float(n))),
    (rf"wait for ({NAME})", c.WaitFor),
    (rf"expect ({NAME}) is ([\w ]+?)(?: within ({NUMBER}))?", _expect_outcome),
    (rf"expect starts of ({NAME}) are (\d+)", lambda s, n: c.ExpectStarts(s, int(n))),
    (rf"expect ({NAME}) equals ({NAME})", c.ExpectEqual),
    (rf"expect whole ({NAME})", c.ExpectWhole),
    (rf"expect owner of ({NAME}) is ({PROCESS})", c.ExpectOwner),
    (
        rf"expect no work at ({PROCESS}) after ({NUMBER})",
        lambda agent, n: c.ExpectNoWork(agent, float(n)),
    ),
    (r"expect sound", c.ExpectSound),
]
