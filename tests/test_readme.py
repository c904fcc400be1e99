"""The README's example runs as written."""

from __future__ import annotations

import contextlib
import io
import re
from pathlib import Path


def test_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.DOTALL)
    assert code is not None
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code.group(1), {})
    expected = re.search(r"# (Send.*)$", code.group(1), re.MULTILINE)
    assert expected is not None
    assert out.getvalue().strip() == expected.group(1)
