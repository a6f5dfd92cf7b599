"""Errors and warnings found in a document."""

from dataclasses import dataclass
from enum import Enum


class Severity(Enum):
    """Whether an issue prevents the document from being used."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Issue:
    """An error or warning on a document.

    Attributes:
        file: Name of the document.
        path: Path of the field, as in ``http.port`` or ``teams[2].name``; may be empty.
        detail: The offending value and how to correct it.
    """

    file: str
    path: str
    detail: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        """Return the issue as a line of text."""
        location = f"{self.path}: " if self.path else ""
        mark = "warning: " if self.severity is Severity.WARNING else ""
        return f"{self.file}: {mark}{location}{self.detail}"


def errors(issues: list[Issue]) -> list[Issue]:
    """Return the issues that prevent the document from being used."""
    return [issue for issue in issues if issue.severity is Severity.ERROR]


def warnings(issues: list[Issue]) -> list[Issue]:
    """Return the issues that do not prevent the document from being used."""
    return [issue for issue in issues if issue.severity is Severity.WARNING]
