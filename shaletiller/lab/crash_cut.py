"""The crash-cut test of a store: `lab cut DIR`.

The test writes a store with a snapshot, several segments, and replaced and deleted keys, and records the
acknowledged contents after each commit. Then it modifies copies of the store:

- Each file is truncated at each of its bytes. A crash may truncate the last segment in this way: the
  recovery must find all records that were acknowledged by then, and no incomplete record. For the other
  files, truncation is damage, which must be reported.
- One bit is flipped in each byte of each file. This must be reported as damage of that file.
- A compaction is interrupted before each of its calls to the file system. No acknowledged record may be
  lost.
"""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from shaletiller.lab.crash_cut_checks import Findings, check_bit_flips, check_truncations
from shaletiller.lab.crash_cut_compaction import check_interrupted_compactions
from shaletiller.lab.crash_cut_store import store_files, write_reference_store
from shaletiller.lab.guarantees import Guarantee, Outcome

# Directory of the copies if it exists: the test writes tens of thousands of copies.
MEMORY_DIRECTORY = Path("/dev/shm")
MAX_REPORTED = 10  # Maximum findings of each kind in the report.


def run(directory: Path, seed: int = 1, byte_step: int = 1) -> Outcome:
    """Run the truncations, the bit flips and the interrupted compactions.

    :param directory: directory in which the store is written.
    :param byte_step: step between the tested byte offsets; 1 tests every byte.
    """
    store = directory / "store"
    shutil.rmtree(store, ignore_errors=True)
    directory.mkdir(parents=True, exist_ok=True)
    reference, findings = write_reference_store(store, seed), Findings()
    parent = MEMORY_DIRECTORY if MEMORY_DIRECTORY.is_dir() else directory
    with tempfile.TemporaryDirectory(dir=parent) as temporary:
        scratch = Path(temporary) / "copy"
        check_truncations(reference, scratch, findings, byte_step)
        check_bit_flips(reference, scratch, findings, seed, byte_step)
        check_interrupted_compactions(reference, scratch, findings)
    return _report(seed, store, findings)


def _report(seed: int, store: Path, findings: Findings) -> Outcome:
    outcome = Outcome("cut", seed)
    outcome.guarantees = [
        Guarantee(
            "acknowledged and lost, or half-written and believed",
            0,
            len(findings.lost),
            note=f"{findings.truncations} truncations, {findings.interruptions} interrupted compactions",
        ),
        Guarantee(
            "damage not named",
            0,
            len(findings.undetected),
            note=f"{findings.bit_flips} bit flips, {findings.truncations} truncations",
        ),
    ]
    outcome.figures = {
        "files": {path.name: path.stat().st_size for path in store_files(store)},
        "lost": findings.lost[:MAX_REPORTED],
        "unnamed": findings.undetected[:MAX_REPORTED],
    }
    return outcome
