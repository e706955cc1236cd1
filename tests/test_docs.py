"""The documentation pages match the code, and their links resolve."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from pepperstair_cli.__main__ import app
from pepperstair_core.burn.report import ALERT_RULES
from pepperstair_core.config.reference import render_reference
from pepperstair_core.errors import ANSWERS
from pepperstair_core.events import Event
from pepperstair_core.intent import Intent
from pepperstair_core.schema import iter_options
from pepperstaird.metrics import iter_metrics

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
PAGES = sorted(DOCS.rglob("*.md")) + [ROOT / "README.md", ROOT / "CONTRIBUTING.md"]
LOG_METHODS = {"debug", "info", "warning", "error", "exception", "critical"}
N_CELLS_MIN = 2


def read(name: str) -> str:
    """Return the text of a page below docs/."""
    return (DOCS / name).read_text()


def iter_rows(name: str) -> Iterator[list[str]]:
    """Yield the cells of each table row of a page, except for heading rows."""
    for line in read(name).splitlines():
        if line.startswith("| `"):
            yield [cell.strip().strip("`") for cell in line.strip("|").split("|")]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_resolve(page):
    targets = re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text())
    missing = [
        target
        for target in targets
        if "://" not in target and not (page.parent / target).exists()
    ]
    assert missing == []


def test_every_page_is_linked_from_the_index():
    reached: set[Path] = set()
    pending = [DOCS / "index.md"]
    while pending:
        page = pending.pop().resolve()
        if page in reached or not page.is_relative_to(DOCS.resolve()):
            continue
        reached.add(page)
        links = re.findall(r"\]\(([^)#]+\.md)", page.read_text())
        pending += [page.parent / link for link in links]
    assert {page.resolve() for page in DOCS.rglob("*.md")} - reached == set()


def test_settings_page_matches_the_schema():
    assert read("user-guide/settings.md") == render_reference()


def test_intent_page_lists_every_key():
    keys = {
        f"{part}.{entry.name}"
        for part, cls in iter_intent_parts()
        for entry in iter_options(cls)
    }
    named = {row[0].replace("[]", "") for row in iter_rows("user-guide/intent.md")}
    assert named == keys


def iter_intent_parts() -> Iterator[tuple[str, type]]:
    """Yield each part of an intent document with the class of its records."""
    from pepperstair_core import intent

    for name, cls in (
        ("services", intent.Service),
        ("routes", intent.Route),
        ("policies", intent.Policy),
        ("label_overrides", intent.LabelOverride),
        ("objectives", intent.Objectives),
        ("accounts", intent.Account),
    ):
        assert name in Intent.__struct_fields__
        yield name, cls


def test_errors_page_matches_the_table_of_answers():
    expected = [
        [kind, str(answer.status), answer.run, "yes" if answer.is_retryable else "no"]
        for kind, answer in ANSWERS.items()
    ]
    assert [row[:4] for row in iter_rows("user-guide/errors.md")] == expected


def test_logs_page_lists_every_event():
    rows = [row for row in iter_rows("operations/logs.md") if row[0] != "Event"]
    assert sorted(row[0] for row in rows) == sorted(Event)
    assert all(row[1] and row[2] for row in rows)


def test_metrics_page_lists_every_metric():
    expected = [[each.name, each.unit, each.doc] for each in iter_metrics()]
    assert list(iter_rows("operations/metrics.md")) == expected


def test_burn_page_lists_every_alert():
    rows = {row[0]: float(row[1]) for row in iter_rows("operations/burn.md")}
    assert rows == {rule.name: rule.threshold for rule in ALERT_RULES}


def iter_commands() -> Iterator[tuple[str, set[str]]]:
    """Yield each command with its options, as registered with cyclopts."""
    for name in ("apply", "check", "diff", "explain", "get", "history", "label"):
        yield name, options_of(app[name])
    for name in ("status", "wait"):
        yield name, options_of(app[name])
    yield "report burn", options_of(app["report"]["burn"])


def options_of(command) -> set[str]:
    """Return the names of a command's options."""
    arguments = command.assemble_argument_collection().filter_by(parse=True)
    return {
        name
        for argument in arguments
        if not argument.children
        for name in argument.names
        if name.startswith("--")
    }


def test_command_line_page_lists_every_command_and_option():
    text = read("user-guide/command-line.md")
    shared = text[: text.index("## apply")]
    sections = dict(re.findall(r"^## (.+)\n((?:(?!^## ).*\n?)*)", text, re.MULTILINE))
    for name, options in iter_commands():
        assert f"pepperstair {name}" in sections[name]
        documented = set(re.findall(r"`(--[a-z-]+)", shared + sections[name]))
        assert options - documented == set(), name


def test_command_line_page_lists_no_unknown_option():
    known = set().union(*(options for _, options in iter_commands()))
    documented = set(re.findall(r"`(--[a-z-]+)", read("user-guide/command-line.md")))
    assert documented - known == set()


def test_every_command_is_checked():
    known = {name for name in app if not name.startswith("-")}
    listed = {name.split()[0] for name, _ in iter_commands()}
    assert known == listed


def iter_log_calls() -> Iterator[tuple[str, ast.Call]]:
    """Yield each call of a module's logger with its location in the source."""
    for path in sorted((ROOT / "packages").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in LOG_METHODS
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "log"
            ):
                yield f"{path.relative_to(ROOT)}:{node.lineno}", node


def test_log_calls_use_only_names_of_the_closed_list():
    """Guards against log lines with other names, which no alert matches."""
    calls = list(iter_log_calls())
    offenders = [
        where
        for where, call in calls
        if not call.args or isinstance(call.args[0], (ast.Constant, ast.JoinedStr))
    ]
    assert calls
    assert offenders == []
