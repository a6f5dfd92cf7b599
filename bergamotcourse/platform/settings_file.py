"""The platform's settings file: lines of ``a.b=value``."""

import re
import socket

from bergamotcourse.errors import BergamotcourseError, Step, StepError
from bergamotcourse.ids import ServiceName, ZoneName
from bergamotcourse.state.node_settings import (
    REMOTE_FACTOR,
    Endpoint,
    NodeSettings,
)

PORT = re.compile(r"[0-9]{1,5}")

REQUIRED = ("node_name", "ip", "zone", "internal_ports", "platform.address")


def read_settings(path: str) -> NodeSettings:
    """Read a settings file.

    Raises:
        BergamotcourseError: It can't be read, or lacks something; names all faults.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        detail = error.strerror or str(error)
        raise BergamotcourseError(StepError(Step.SETTINGS, path, detail)) from error
    try:
        return parse_settings(text)
    except ValueError as error:
        fault = StepError(Step.SETTINGS, path, str(error))
        raise BergamotcourseError(fault) from error


NUMBERS = ("bounds.grace_s", "bounds.remote_factor")


def parse_settings(text: str) -> NodeSettings:
    """Return the settings in a text; unknown keys are ignored.

    Raises:
        ValueError: Something is missing or malformed; names all faults.
    """
    fields = parse_fields(text)
    faults = [f"{key} is missing" for key in REQUIRED if not fields.get(key)]
    for key, value in fields.items():
        faults += address_faults(key, value)
    if faults:
        raise ValueError("; ".join(faults))
    link_port = int(fields["internal_ports"].split(",")[0])
    serves = fields.get("serves", "").split(",")
    listens = {
        name: endpoint(fields[f"listen_addrs.{name}"])
        for name in ("frontend", "ready", "control_plane")
        if fields.get(f"listen_addrs.{name}")
    }
    return NodeSettings(
        name=fields["node_name"],
        zone=ZoneName(fields["zone"]),
        link=Endpoint(fields["ip"], link_port),
        callers=listens.get("frontend") if "edge" in serves else None,
        readiness=listens.get("ready"),
        reports=listens.get("control_plane"),
        seeds=tuple(
            Endpoint(endpoint(seed).host, link_port)
            for seed in fields.get("seed_nodes", "").split(",")
            if seed
        ),
        store=endpoint(fields["platform.address"]),
        service=ServiceName(fields.get("service", "")),
        stop_seconds=float(fields.get("bounds.grace_s") or 6),
        remote_factor=float(fields.get("bounds.remote_factor") or REMOTE_FACTOR),
    )


def parse_fields(text: str) -> dict[str, str]:
    """Return the keys and values of a text; lines without ``=`` are ignored."""
    lines = (line.partition("=") for line in text.splitlines())
    return {key.strip(): value.strip() for key, sign, value in lines if sign}


def endpoint(text: str) -> Endpoint:
    """Return the endpoint in ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    return Endpoint(host, int(port))


def address_faults(key: str, value: str) -> list[str]:
    """Return what is wrong with a value that holds addresses, ports or a number."""
    if key.startswith("listen_addrs.") or key in ("platform.address", "seed_nodes"):
        parts = [part for part in value.split(",") if part]
        wrong = [p for p in parts if not is_address(p)]
        return [f"{key} is not of the form IP:PORT: {part}" for part in wrong]
    if key == "internal_ports" and not value.split(",")[0].isdigit():
        return [f"{key} names no port: {value}"]
    if key in NUMBERS and not is_number(value):
        return [f"{key} is not a number: {value}"]
    return []


def is_address(text: str) -> bool:
    """Return whether a text is ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    if not PORT.fullmatch(port) or not 0 < int(port) < 65536:
        return False
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return True


def is_number(text: str) -> bool:
    """Return whether a text is a number."""
    try:
        float(text)
    except ValueError:
        return False
    return True
