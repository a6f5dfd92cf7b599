"""Calls of a function for several items, of which one may fail."""

from collections.abc import Callable, Iterable
from typing import TypeVar

T = TypeVar("T")


def call_each(call: Callable[[T], None], items: Iterable[T]) -> None:
    """Call a function for each item, also for those after one that fails.

    The items of a message are acknowledged together, so none is sent again.

    Raises:
        ExceptionGroup: The exceptions of all calls, after the last call.
    """
    errors = []
    for item in items:
        try:
            call(item)
        except Exception as error:
            errors.append(error)
    if errors:
        raise ExceptionGroup("items that could not be handled", errors)
