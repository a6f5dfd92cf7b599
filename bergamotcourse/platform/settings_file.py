"""Reads the platform's settings file, which has lines of ``a.b=value``."""

import math

from bergamotcourse.errors import BergamotcourseError, Step, StepError
from bergamotcourse.ids import ServiceName, ZoneName
from bergamotcourse.state.addresses import is_address, is_ip, is_port
from bergamotcourse.state.node_settings import (
    REMOTE_FACTOR,
    Endpoint,
    NodeSettings,
)

REQUIRED_KEYS = ("node_name", "ip", "zone", "internal_ports", "platform.address")


def read_settings(path: str) -> NodeSettings:
    """Read a settings file.

    Raises:
        BergamotcourseError: The file cannot be read, or a setting is missing or
            malformed; the message lists all faults.
    """
    try:
        with open(path, "rb") as file:
            content = file.read()
    except OSError as error:
        detail = error.strerror or str(error)
        raise BergamotcourseError(StepError(Step.SETTINGS, path, detail)) from error
    try:
        return parse_settings(content.decode())
    except ValueError as error:
        fault = StepError(Step.SETTINGS, path, str(error))
        raise BergamotcourseError(fault) from error


NUMERIC_KEYS = (
    "bounds.grace_s",
    "bounds.remote_factor",
    "limits.cpu_share",
    "limits.cpu_cores",
)


def parse_settings(text: str) -> NodeSettings:
    """Return the settings in the text of a file; unknown keys are ignored.

    Raises:
        ValueError: A setting is missing or malformed; the message lists all faults.
    """
    fields = parse_fields(text)
    faults = [f"{key} is missing" for key in REQUIRED_KEYS if not fields.get(key)]
    for key, value in fields.items():
        faults += find_value_faults(key, value)
    if faults:
        raise ValueError("; ".join(faults))
    link_port = int(fields["internal_ports"].split(",")[0])
    serves = fields.get("serves", "").split(",")
    listens = {
        name: parse_endpoint(fields[f"listen_addrs.{name}"])
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
            Endpoint(parse_endpoint(seed).host, link_port)
            for seed in fields.get("seed_nodes", "").split(",")
            if seed
        ),
        store=parse_endpoint(fields["platform.address"]),
        service=ServiceName(fields.get("service", "")),
        stop_seconds=float(fields.get("bounds.grace_s") or 6),
        cores=float(fields.get("limits.cpu_share") or 0)
        * float(fields.get("limits.cpu_cores") or 1),
        remote_factor=float(fields.get("bounds.remote_factor") or REMOTE_FACTOR),
    )


def parse_fields(text: str) -> dict[str, str]:
    """Return the values in a text by key; lines without ``=`` are ignored."""
    lines = (line.partition("=") for line in text.splitlines())
    return {key.strip(): value.strip() for key, sign, value in lines if sign}


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint that a text of the form ``IP:PORT`` denotes.

    Raises:
        ValueError: The port is not a number.
    """
    host, _, port = text.rpartition(":")
    return Endpoint(host, int(port))


def find_value_faults(key: str, value: str) -> list[str]:
    """Return the faults of a value that must be addresses, ports or a number."""
    if key.startswith("listen_addrs.") or key in ("platform.address", "seed_nodes"):
        parts = [part for part in value.split(",") if part]
        wrong = [p for p in parts if not is_address(p)]
        return [f"{key} is not of the form IP:PORT: {part}" for part in wrong]
    if key == "internal_ports" and not is_port(value.split(",")[0]):
        return [f"{key} names no port: {value}"]
    if key == "ip" and not is_ip(value):
        return [f"{key} is not an IPv4 address: {value}"]
    if key in NUMERIC_KEYS and value and not is_amount(value):
        return [f"{key} is not a number: {value}"]
    return []


def is_amount(text: str) -> bool:
    """Return whether a text is a number that is finite and not negative."""
    try:
        return 0 <= float(text) < math.inf
    except ValueError:
        return False
