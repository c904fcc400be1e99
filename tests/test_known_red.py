"""Tests of how a run reports the tests that are listed in KNOWN-RED.txt, and when it fails."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FAILING_TEST = """
def test_sum():
    print("printed before the failure")
    assert 1 + 1 == 3
"""


@pytest.fixture
def project(tmp_path: Path) -> Path:
    """Create a project of one failing test, with this repository's conftest and pytest options."""
    (tmp_path / "tests").mkdir()
    shutil.copy(ROOT / "tests" / "conftest.py", tmp_path / "tests")
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    (tmp_path / "tests" / "test_sums.py").write_text(FAILING_TEST)
    return tmp_path


def run_tests(project: Path, listed: str) -> subprocess.CompletedProcess[str]:
    """Run the project's tests.

    :param listed: the test that KNOWN-RED.txt lists; no file is written if it is empty.
    """
    if listed:
        (project / "KNOWN-RED.txt").write_text(f"test: {listed}\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    return subprocess.run(command, cwd=project, capture_output=True, text=True, check=False)


def test_a_listed_failure_prints_its_assertion_and_output(project: Path) -> None:
    """Guards against listed failures whose assertion and output are not visible."""
    run = run_tests(project, "tests/test_sums.py::test_sum")
    assert run.returncode == 0, run.stdout
    assert "assert (1 + 1) == 3" in run.stdout
    assert "printed before the failure" in run.stdout
    assert "tests/test_sums.py::test_sum: failed" in run.stdout


def test_a_listed_test_that_does_not_exist_fails_the_run(project: Path) -> None:
    """Guards against entries of tests that were removed or renamed."""
    run = run_tests(project, "tests/test_sums.py::test_product")
    assert run.returncode == pytest.ExitCode.USAGE_ERROR
    assert "tests/test_sums.py::test_product" in run.stderr


def test_a_failure_that_is_not_listed_fails_the_run(project: Path) -> None:
    """Guards against a run that ignores failures of tests that are not listed."""
    assert run_tests(project, "").returncode == pytest.ExitCode.TESTS_FAILED
