"""Masking of credentials in configuration, for readers who must not obtain them."""

from dataclasses import replace
from typing import Any

from bergamotcourse.state.manifest import Manifest
from bergamotcourse.state.manifest_diff import (
    SECRET_FIELDS,
    Added,
    Changed,
    Changes,
    Item,
    Removed,
)

VISIBLE_DIGEST_DIGITS = 8
"""Enough digits to distinguish credentials, too few to reveal their digests."""


def mask_credential(digest: str) -> str:
    """Return the first digits of a credential's digest, which does not authenticate."""
    return f"{digest[:VISIBLE_DIGEST_DIGITS]}..."


def mask_manifest(manifest: Manifest) -> Manifest:
    """Return the manifest with its credentials masked."""
    return replace(
        manifest,
        teams=[_mask_owner(team) for team in manifest.teams],
        operators=[_mask_owner(operator) for operator in manifest.operators],
    )


def mask_changes(changes: Changes) -> Changes:
    """Return the changes with their credentials masked."""
    return Changes(
        added=[Added(one.path, _mask_item(one.new)) for one in changes.added],
        removed=[Removed(one.path, _mask_item(one.old)) for one in changes.removed],
        changed=[_mask_change(one) for one in changes.changed],
    )


def _mask_owner(owner: Any) -> Any:
    return replace(
        owner, credentials=[mask_credential(one) for one in owner.credentials]
    )


def _mask_item(item: Item) -> Item:
    return {
        key: [mask_credential(one) for one in value] if key in SECRET_FIELDS else value
        for key, value in item.items()
    }


def _mask_change(change: Changed) -> Changed:
    if change.path.field not in SECRET_FIELDS:
        return change
    old = [mask_credential(one) for one in change.old]
    return Changed(change.path, old, [mask_credential(one) for one in change.new])
