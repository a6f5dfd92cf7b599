"""Typed errors with the processing step and the peer at which they occurred."""

from dataclasses import dataclass
from enum import Enum


class Step(Enum):
    """The processing step at which an error occurred."""

    ACCEPT = "accept"
    CLAIM = "claim"
    QUEUE = "queue"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    DECODE = "decode"
    RUN = "run"
    STORE = "store"
    SETTINGS = "settings"


@dataclass(frozen=True)
class StepError:
    """An error as a value, to be returned in an ``expression.Result``.

    Attributes:
        step: The step at which the error occurred.
        peer: Address or name of the peer, or ``""`` if there is none.
        detail: Human-readable description in one line.
    """

    step: Step
    peer: str
    detail: str

    def __str__(self) -> str:
        """Return the error as one line."""
        at = f" with {self.peer}" if self.peer else ""
        return f"{self.step.value}{at}: {self.detail}"


class BergamotcourseError(Exception):
    """Base of the exceptions that the command line reports in one line."""

    def __init__(self, error: StepError):
        super().__init__(str(error))
        self.error = error
