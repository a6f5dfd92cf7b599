"""Parsing and validation of the manifest; all issues are reported at once."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from bergamotcourse.ids import ServiceName
from bergamotcourse.state.issues import Issue, errors, warnings
from bergamotcourse.state.manifest import (
    Manifest,
    Role,
    canonical,
    drain_key,
)
from bergamotcourse.state.validation import Validator
from bergamotcourse.state.validation_messages import unknown_key_message
from bergamotcourse.state.yaml_text import parse_yaml

NAMED_SECTIONS = ("services", "job_classes", "upstreams", "teams", "operators")


@dataclass(frozen=True)
class ParsedManifest:
    """A manifest without errors in canonical order, with its warnings."""

    manifest: Manifest
    warnings: list[Issue]


def parse_manifest(text: str, file: str) -> Result[ParsedManifest, list[Issue]]:
    """Return the manifest in a YAML text, or all its errors and warnings.

    Args:
        text: The YAML text.
        file: Name of the document in the issues.
    """
    return parse_yaml(text, file).bind(lambda data: _convert(data, file))


def _convert(document: object, file: str) -> Result[ParsedManifest, list[Issue]]:
    validator = Validator(file)
    manifest = validator.convert(document, Manifest)
    check_manifest(manifest, validator)
    if errors(validator.issues):
        return Error(validator.issues)
    return Ok(ParsedManifest(canonical(manifest), warnings(validator.issues)))


def check_manifest(manifest: Manifest, validator: Validator) -> None:
    """Report the issues that involve more than one item."""
    _check_names(manifest, validator)
    _check_services(manifest, validator)
    _check_teams(manifest, validator)
    _check_credentials(manifest, validator)
    _check_operators(manifest, validator)
    _check_drains(manifest, validator)
    _check_unused_services(manifest, validator)


def _check_names(manifest: Manifest, validator: Validator) -> None:
    for section in NAMED_SECTIONS:
        names = [item.name for item in getattr(manifest, section)]
        for index, first in _duplicates(names):
            validator.error(
                f"{section}[{index}].name",
                f"{names[index]!r} is taken by {section}[{first}]; give another name",
            )


def _check_drains(manifest: Manifest, validator: Validator) -> None:
    keys = [drain_key(drain) for drain in manifest.policy.drains]
    for index, first in _duplicates(keys):
        validator.error(
            f"policy.drains[{index}]",
            f"{keys[index]!r} stands as policy.drains[{first}] too; remove one",
        )
    for index, drain in enumerate(manifest.policy.drains):
        if drain.name == manifest.release and drain.kind.value == "release":
            validator.warn(
                f"policy.drains[{index}].name",
                f"{drain.name!r} is the manifest's own release; nothing of it will"
                " receive work",
            )


def _check_services(manifest: Manifest, validator: Validator) -> None:
    for index, item in enumerate(manifest.job_classes):
        _check_service(
            manifest, item.service, f"job_classes[{index}].service", validator
        )
    for section in ("upstreams", "teams"):
        for index, item in enumerate(getattr(manifest, section)):
            for position, service in enumerate(item.services):
                path = f"{section}[{index}].services[{position}]"
                _check_service(manifest, service, path, validator)
    for index, item in enumerate(manifest.services):
        if item.declared_seconds > item.timeout_seconds:
            validator.error(
                f"services[{index}].declared_seconds",
                f"{item.declared_seconds:g} is over timeout_seconds"
                f" ({item.timeout_seconds:g}); give less",
            )


def _check_service(
    manifest: Manifest, name: ServiceName, path: str, validator: Validator
) -> None:
    known = [service.name for service in manifest.services]
    if name and name not in known:
        detail = unknown_key_message(name, known).replace("key", "service").rstrip(": ")
        validator.error(path, f"{detail}; or add it to services")


def _check_unused_services(manifest: Manifest, validator: Validator) -> None:
    served = {name for rule in manifest.upstreams for name in rule.services}
    used = {name for team in manifest.teams for name in team.services}
    for index, item in enumerate(manifest.services):
        if item.name not in served:
            validator.warn(
                f"services[{index}].name",
                f"{item.name!r} has no rule in upstreams; none of its work can run",
            )
        if item.name not in used:
            validator.warn(
                f"services[{index}].name", f"{item.name!r} is used by no team"
            )


def _check_teams(manifest: Manifest, validator: Validator) -> None:
    for index, team in enumerate(manifest.teams):
        path = f"teams[{index}]"
        if team.quota_starts_per_second == 0:
            validator.warn(
                f"{path}.quota_starts_per_second",
                f"0 refuses all work of {team.name!r}",
            )
        if team.max_in_flight == 0:
            validator.warn(
                f"{path}.max_in_flight", f"0 refuses all work of {team.name!r}"
            )
        if not team.credentials:
            validator.warn(
                f"{path}.credentials", f"{team.name!r} can't log in; add one"
            )
        if not team.services:
            validator.warn(
                f"{path}.services", f"{team.name!r} may use no service; add one"
            )


def _check_credentials(manifest: Manifest, validator: Validator) -> None:
    owners: dict[str, str] = {}
    for section in ("teams", "operators"):
        for index, item in enumerate(getattr(manifest, section)):
            for position, credential in enumerate(item.credentials):
                path = f"{section}[{index}].credentials[{position}]"
                if credential and credential in owners:
                    validator.error(
                        path,
                        f"the same as {owners[credential]}; a token names one owner,"
                        " so issue another",
                    )
                owners.setdefault(credential, path)


def _check_operators(manifest: Manifest, validator: Validator) -> None:
    for index, operator in enumerate(manifest.operators):
        if not operator.credentials:
            validator.warn(
                f"operators[{index}].credentials", f"{operator.name!r} can't log in"
            )
    if not any(
        operator.role is Role.ADMIN and operator.credentials
        for operator in manifest.operators
    ):
        validator.warn("operators", "no operator with role admin can log in")


def _duplicates(values: list[str]) -> list[tuple[int, int]]:
    """Return the index of each repeated value with that of its first occurrence."""
    pairs = []
    for index, value in enumerate(values):
        first = values.index(value)
        if value and first < index:
            pairs.append((index, first))
    return pairs
