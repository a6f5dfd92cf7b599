"""Parsing of YAML text, with errors reported as issues.

PyYAML silently keeps the last value of a repeated key; here it is an error.
"""

from typing import Any

import yaml
from expression import Error, Ok, Result

from bergamotcourse.state.issues import Issue

BaseLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class UniqueKeyLoader(BaseLoader):
    """Loads builtin types only, and rejects mappings with repeated keys."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> Any:
        """Return the mapping of a node.

        Raises:
            yaml.constructor.ConstructorError: A key is repeated.
        """
        seen = set()
        for key_node, _ in node.value:
            if key_node.value.__hash__ is None or key_node.tag.endswith(":merge"):
                continue
            if key_node.value in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key_node.value!r} twice", key_node.start_mark
                )
            seen.add(key_node.value)
        return super().construct_mapping(node, deep)


def parse_yaml(text: str, file: str) -> Result[Any, list[Issue]]:
    """Return the content of a YAML text, or a single issue with line and column."""
    try:
        document = yaml.load(text, Loader=UniqueKeyLoader)
    except yaml.MarkedYAMLError as error:
        return Error([Issue(file, _position(error), f"not YAML: {_problem(error)}")])
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return Error([Issue(file, "", f"not YAML: {str(error).splitlines()[0]}")])
    if document is None:
        return Error([Issue(file, "", "the file is empty; see the examples")])
    return Ok(document)


def read_text(path: str) -> Result[str, list[Issue]]:
    """Return the content of a file, or a single issue if it can't be read."""
    try:
        with open(path, encoding="utf-8") as file:
            return Ok(file.read())
    except OSError as error:
        return Error([Issue(path, "", f"can't be read: {error.strerror}")])
    except UnicodeDecodeError:
        return Error([Issue(path, "", "is not UTF-8 text; save it as UTF-8")])


def _position(error: yaml.MarkedYAMLError) -> str:
    mark = error.problem_mark
    return f"line {mark.line + 1} column {mark.column + 1}" if mark else ""


def _problem(error: yaml.MarkedYAMLError) -> str:
    return error.problem or str(error).splitlines()[0]
