"""Deltas between manifests, which are sent in place of full copies."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec
from expression import Error, Ok, Result

from bergamotcourse.errors import Step, StepError
from bergamotcourse.state.manifest import Manifest, canonical

Item = dict[str, Any]
"""An item of a section as builtin types, by field name."""


class Section(Enum):
    """A part of the manifest; the item of a single-item section has the key ``""``."""

    MANIFEST = "manifest"
    POLICY = "policy"
    DRAINS = "drains"
    SERVICES = "services"
    JOB_CLASSES = "job_classes"
    UPSTREAMS = "upstreams"
    TEAMS = "teams"
    OPERATORS = "operators"


ITEM_SECTIONS = (
    Section.SERVICES,
    Section.JOB_CLASSES,
    Section.UPSTREAMS,
    Section.TEAMS,
    Section.OPERATORS,
)
SECRET_FIELDS = ("credentials",)


@dataclass(frozen=True, order=True)
class Path:
    """Location of a change in the manifest.

    Attributes:
        section: The section, which is a value of ``Section``.
        key: Name of the item in its section.
        field: Field of the item, or ``""`` for the whole item.
    """

    section: str
    key: str = ""
    field: str = ""

    def __str__(self) -> str:
        """Return the path in dotted form, as in ``teams.barakaldo.weight``."""
        parts = [self.section, self.key, self.field]
        return ".".join(part for part in parts if part)


@dataclass(frozen=True)
class Added:
    """An item that was added."""

    path: Path
    new: Item


@dataclass(frozen=True)
class Removed:
    """An item that was removed."""

    path: Path
    old: Item


@dataclass(frozen=True)
class Changed:
    """A field whose value changed."""

    path: Path
    old: Any
    new: Any


Change = Added | Removed | Changed


@dataclass(frozen=True)
class Changes:
    """The delta from one manifest to another."""

    added: list[Added] = field(default_factory=list)
    removed: list[Removed] = field(default_factory=list)
    changed: list[Changed] = field(default_factory=list)

    def sorted_by_path(self) -> list[Change]:
        """Return all changes, sorted by path."""
        changes = [*self.added, *self.removed, *self.changed]
        return sorted(changes, key=lambda change: change.path)


def diff_manifests(old: Manifest, new: Manifest) -> Changes:
    """Return the delta that turns one manifest into another."""
    before, after = split_items(old), split_items(new)
    changes = Changes()
    for path in sorted(before.keys() | after.keys()):
        if path not in before:
            changes.added.append(Added(path, after[path]))
        elif path not in after:
            changes.removed.append(Removed(path, before[path]))
        else:
            changes.changed.extend(_changed(path, before[path], after[path]))
    return changes


def apply_changes(manifest: Manifest, changes: Changes) -> Result[Manifest, StepError]:
    """Return the manifest after the changes.

    It is an error if the changes were made for a different manifest.
    """
    items = split_items(manifest)
    for change in changes.sorted_by_path():
        if not _apply(items, change):
            detail = f"the change of {change.path} applies to a different manifest"
            return Error(StepError(Step.DECODE, "", detail))
    try:
        return Ok(join_items(items))
    except (msgspec.MsgspecError, KeyError) as error:
        return Error(StepError(Step.DECODE, "", f"the changes do not fit: {error}"))


def invert_changes(changes: Changes) -> Changes:
    """Return the changes that revert these."""
    return Changes(
        added=[Added(one.path, one.old) for one in changes.removed],
        removed=[Removed(one.path, one.new) for one in changes.added],
        changed=[Changed(one.path, one.new, one.old) for one in changes.changed],
    )


def describe_change(change: Change) -> str:
    """Return a change as a line of text; credentials are shortened."""
    match change:
        case Added(path, new):
            return f"+ {path}: {_describe_item(new)}"
        case Removed(path):
            return f"- {path}"
        case Changed(path, old, new) if path.field in SECRET_FIELDS:
            return f"~ {path}: {_abbreviate(old)} -> {_abbreviate(new)}"
        case Changed(path, old, new):
            return f"~ {path}: {_as_json(old)} -> {_as_json(new)}"


def describe_changes(changes: Changes) -> list[str]:
    """Return all changes as lines of text, sorted by path."""
    return [describe_change(change) for change in changes.sorted_by_path()]


def split_items(manifest: Manifest) -> dict[Path, Item]:
    """Return the items of a manifest as builtin types, by path."""
    data = msgspec.to_builtins(canonical(manifest))
    items = {}
    for section in ITEM_SECTIONS:
        for item in data.pop(section.value):
            items[Path(section.value, item["name"])] = item
    policy = data.pop(Section.POLICY.value)
    for drain in policy.pop("drains"):
        key = f"{drain['kind']}/{drain['name']}"
        items[Path(Section.DRAINS.value, key)] = drain
    items[Path(Section.POLICY.value)] = policy
    items[Path(Section.MANIFEST.value)] = data
    return items


def join_items(items: dict[Path, Item]) -> Manifest:
    """Return the manifest that consists of the items.

    Raises:
        msgspec.MsgspecError: The items do not form a valid manifest.
        KeyError: A single-item section is missing.
    """
    sections: dict[str, list[Item]] = {section.value: [] for section in Section}
    for path, item in items.items():
        sections[path.section].append(item)
    named = {section.value: sections[section.value] for section in ITEM_SECTIONS}
    policy = {
        **items[Path(Section.POLICY.value)],
        "drains": sections[Section.DRAINS.value],
    }
    data = {**items[Path(Section.MANIFEST.value)], **named, "policy": policy}
    return canonical(msgspec.convert(data, Manifest))


def _changed(path: Path, old: Item, new: Item) -> list[Changed]:
    return [
        Changed(Path(path.section, path.key, name), old[name], new[name])
        for name in sorted(old)
        if old[name] != new[name]
    ]


def _apply(items: dict[Path, Item], change: Change) -> bool:
    """Apply a change in place; return false if the item is not as expected."""
    match change:
        case Added(path, new):
            fits = path not in items
            items[path] = new
        case Removed(path, old):
            fits = items.pop(path, None) == old
        case Changed(path, old, new):
            item_path = Path(path.section, path.key)
            item = items.get(item_path, {})
            fits = path.field in item and item[path.field] == old
            items[item_path] = {**item, path.field: new}
    return fits


def _describe_item(item: Item) -> str:
    parts = [
        f"{name} {_abbreviate(value) if name in SECRET_FIELDS else _as_json(value)}"
        for name, value in item.items()
        if name != "name"
    ]
    return ", ".join(parts)


def _as_json(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _abbreviate(digests: list[str]) -> str:
    return "[" + ", ".join(f"{digest[:8]}..." for digest in digests) + "]"
