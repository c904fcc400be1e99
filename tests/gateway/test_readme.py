"""The README's example runs as written, and the pages name what is there."""

from __future__ import annotations

import ast
import contextlib
import io
import re
import tomllib
from pathlib import Path

# The standard-library modules that the files that decide import; none does I/O.
STANDARD_MODULES_WITHOUT_IO = frozenset(
    {"__future__", "collections.abc", "dataclasses", "functools", "math", "random"}
)

# The project's modules that the files that decide may import, with their submodules. Of the fleet,
# which is free of I/O too (docs/architecture.md), only the quotas are used.
PROJECT_MODULES_WITHOUT_IO = frozenset(
    {
        "shaletiller.fleet.quotas",
        "shaletiller.messages",
        "shaletiller.policy",
        "shaletiller.rate_counters",
        "shaletiller.settings",
        "shaletiller.state",
    }
)


def test_example_runs() -> None:
    """The README's example prints what its last comment states."""
    text = (Path(__file__).parent.parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.DOTALL)
    assert code is not None
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code.group(1), {})
    expected = re.search(r"# (SendAttempt.*)$", code.group(1), re.MULTILINE)
    assert expected is not None
    assert out.getvalue().strip() == expected.group(1)


def test_the_table_of_endings_names_tests_that_are_there() -> None:
    """Each test and test class that docs/endings.md names exists."""
    root = Path(__file__).parent.parent
    text = "".join(path.read_text() for path in root.rglob("test_*.py"))
    known = set(re.findall(r"def (test_\w+)", text)) | set(re.findall(r"class (\w+)\(", text))
    table = (root.parent / "docs" / "endings.md").read_text()
    named = re.findall(r"`(?:([A-Z]\w+)\.)?(test_\w+)(\*?)`|`([A-Z]\w+)\.\*`", table)
    assert len(named) > 40
    for owner, test, is_prefix, class_name in named:
        if test and list(root.rglob(f"{test}.py")):
            continue
        assert not (owner or class_name) or (owner or class_name) in known, owner or class_name
        assert not test or (any(each.startswith(test) for each in known) if is_prefix else test in known), (
            test
        )


def listed_policy_files(root: Path) -> list[str]:
    """Return the files that the deploy file lists under `policy`."""
    listed: list[str] = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["policy"]
    return listed


def imported_modules(source: str) -> set[str]:
    """Return the modules that the source imports at any depth; a relative name keeps its leading dots."""
    modules: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            modules.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            module = "." * node.level + (node.module or "")
            if module == "shaletiller":
                # `from shaletiller import core` imports the module shaletiller.core.
                modules.update(f"{module}.{alias.name}" for alias in node.names)
            else:
                modules.add(module)
    return modules


def does_no_io(module: str) -> bool:
    """Tell whether the files that decide may import the module."""
    return module in STANDARD_MODULES_WITHOUT_IO or any(
        module == allowed or module.startswith(f"{allowed}.") for allowed in PROJECT_MODULES_WITHOUT_IO
    )


def test_the_deploy_file_lists_every_file_that_decides() -> None:
    root = Path(__file__).parent.parent.parent
    listed = listed_policy_files(root)
    there = [str(path.relative_to(root)) for path in root.glob("shaletiller/policy/*.py")]
    assert sorted(listed) == sorted(there)


def test_the_files_that_decide_import_nothing_that_does_io() -> None:
    """Decisions are free of I/O (DEVELOPERS.md, "Rules of the design")."""
    root = Path(__file__).parent.parent.parent
    imported = {name: imported_modules((root / name).read_text()) for name in listed_policy_files(root)}
    refused = [
        f"{name} imports {module}"
        for name, modules in imported.items()
        for module in sorted(modules)
        if not does_no_io(module)
    ]
    assert refused == []
    # Each standard module is in use: the set stays minimal, and the check does not pass on an empty list.
    assert set[str]().union(*imported.values()) >= STANDARD_MODULES_WITHOUT_IO
