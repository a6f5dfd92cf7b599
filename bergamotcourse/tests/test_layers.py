import ast
from pathlib import Path

import pytest

import bergamotcourse

ROOT = Path(bergamotcourse.__file__).parent
LAYERS = ["state", "transport", "protocol", "coordination"]
ALLOWED = {
    "state": {"state"},
    "transport": {"transport"},
    "protocol": {"state", "transport", "protocol"},
    "coordination": {"state", "transport", "protocol", "coordination"},
}
SHARED = {"ids", "errors"}
# Ledgers and journals record the four outcomes, which the protocol defines.
EXCEPTIONS = {("state", "protocol.outcome")}


def imports_of(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


class TestLayers:
    @pytest.mark.parametrize("layer", LAYERS)
    def test_layers_import_only_lower_layers(self, layer):
        wrong = []
        for path in (ROOT / layer).rglob("*.py"):
            for module in imports_of(path):
                if not module.startswith("bergamotcourse."):
                    continue
                inner = module.removeprefix("bergamotcourse.")
                target = inner.split(".")[0]
                allowed = target in ALLOWED[layer] | SHARED
                if not allowed and (layer, inner) not in EXCEPTIONS:
                    wrong.append(f"{path.name}: {module}")
        assert wrong == []

    def test_daemons_import_no_test_or_plot_library(self):
        heavy = {"numpy", "matplotlib", "hypothesis", "pytest"}
        for layer in [*LAYERS, "daemons"]:
            for path in (ROOT / layer).rglob("*.py"):
                packages = {module.split(".")[0] for module in imports_of(path)}
                assert not packages & heavy, path
