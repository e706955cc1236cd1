"""The decision logic has no I/O, clocks or hidden randomness."""

from __future__ import annotations

import ast
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pepperstair_core

CORE = Path(pepperstair_core.__file__).parent
FORBIDDEN = {"asyncio", "socket", "time", "random", "threading", "select", "os"}
PERMITTED_FROM = {("random", "Random")}


def iter_imports(path: Path) -> Iterator[tuple[str, str]]:
    """Yield each absolute import of a module as (module, name)."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from ((alias.name, "") for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            yield from ((node.module or "", alias.name) for alias in node.names)


def test_core_imports_no_io():
    offenders = [
        f"{path.relative_to(CORE)}: {module} {name}"
        for path in sorted(CORE.rglob("*.py"))
        for module, name in iter_imports(path)
        if module.split(".")[0] in FORBIDDEN and (module, name) not in PERMITTED_FROM
    ]
    assert offenders == []


def test_core_imports_no_other_package_of_the_workspace():
    offenders = [
        f"{path.relative_to(CORE)}: {module}"
        for path in sorted(CORE.rglob("*.py"))
        for module, _ in iter_imports(path)
        if module.startswith("pepperstair")
        and module.split(".")[0] != "pepperstair_core"
    ]
    assert offenders == []


def test_daemon_on_the_users_platform_imports_only_what_it_runs():
    """Guards against a longer restart because of imports that are not used.

    Callers wait until a killed daemon has restarted, and imports take most of that
    time. Those of `pepperstair_core.distribution`, which distributes the product's
    own snapshots, took an eighth of it, although none of it runs where a daemon
    follows the operators' document on the users' platform.
    """
    program = (
        "from pepperstaird.running import run_daemon\n"
        "from pepperstair_adapter.composition import platform_dependencies\n"
        "import sys\n"
        "print([n for n in sys.modules if n.startswith('pepperstair_core.distrib')])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"
