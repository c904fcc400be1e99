"""The crash-cut test of a store: `lab cut DIR`.

A store is written with a snapshot, several segments, and keys that were replaced and deleted.  After each
commit it is noted what was acknowledged.  Then, on copies:

- Each file is truncated at each of its bytes.  For the last segment this is what a crash may leave: all that
  was acknowledged by then must be found, and no incomplete record.  For the other files it is damage, which
  must be reported.
- A bit is flipped in each byte of each file, which must be reported as damage of that file.
- A compaction is interrupted before each of its calls to the file system: nothing acknowledged may be lost.
"""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from shaletiller.lab.crash_cut_checks import Findings, check_bit_flips, check_truncations
from shaletiller.lab.crash_cut_compaction import check_interrupted_compactions
from shaletiller.lab.crash_cut_store import store_files, write_reference_store
from shaletiller.lab.guarantees import Guarantee, Outcome

MEMORY_DIRECTORY = Path("/dev/shm")  # the copies go there if it exists: tens of thousands of them are written
MAX_REPORTED = 10  # findings of each sort in the report


def run(directory: Path, seed: int = 1, every_bytes: int = 1) -> Outcome:
    """Run the whole test.

    :param directory: where the store is written.
    :param every_bytes: above 1, only every so manieth byte is tried.
    """
    store = directory / "store"
    shutil.rmtree(store, ignore_errors=True)
    directory.mkdir(parents=True, exist_ok=True)
    reference, findings = write_reference_store(store, seed), Findings()
    parent = MEMORY_DIRECTORY if MEMORY_DIRECTORY.is_dir() else directory
    with tempfile.TemporaryDirectory(dir=parent) as temporary:
        scratch = Path(temporary) / "copy"
        check_truncations(reference, scratch, findings, every_bytes)
        check_bit_flips(reference, scratch, findings, seed, every_bytes)
        check_interrupted_compactions(reference, scratch, findings)
    return _report(seed, store, findings)


def _report(seed: int, store: Path, findings: Findings) -> Outcome:
    outcome = Outcome("cut", seed)
    outcome.guarantees = [
        Guarantee(
            "acknowledged and lost, or half-written and believed",
            0,
            len(findings.lost),
            note=f"{findings.cuts} cuts, {findings.interruptions} stops in a compaction",
        ),
        Guarantee(
            "damage not named",
            0,
            len(findings.undetected),
            note=f"{findings.flips} flips, {findings.cuts} cuts",
        ),
    ]
    outcome.figures = {
        "files": {path.name: path.stat().st_size for path in store_files(store)},
        "lost": findings.lost[:MAX_REPORTED],
        "unnamed": findings.undetected[:MAX_REPORTED],
    }
    return outcome
