"""Command line for stores: `python -m shaletiller store show|verify|compact DIR`.

Exit codes: 0 success; 1 damaged, with the file and byte offset printed; 2 usage error; 3 store not
available: open in another process, not readable, or not writable.
"""

from __future__ import annotations

import json
import sys
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any

import typer

from shaletiller.replication.records import describe
from shaletiller.store.errors import DamagedStoreError, StoreFullError, StoreLockedError
from shaletiller.store.file_system import FileSystem
from shaletiller.store.recovery import (
    LOCK_FILE,
    SEGMENT_SUFFIX,
    SNAPSHOT_SUFFIX,
    RecoveredContents,
)
from shaletiller.store.segment_store import SegmentStore


class ExitCode(IntEnum):
    """Exit codes for failures."""

    DAMAGED = 1
    USAGE = 2
    UNAVAILABLE = 3


app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A gateway's store: docs/store.md.",
)
DirectoryArgument = Annotated[
    Path, typer.Argument(metavar="DIR", exists=True, file_okay=False, help="the store's directory")
]
JsonOption = Annotated[bool, typer.Option("--json", help="one JSON object instead of lines")]


def _error_exit(message: object, code: ExitCode) -> typer.Exit:
    typer.echo(f"store: {message}", err=True)
    return typer.Exit(code)


def _is_store(directory: Path) -> bool:
    suffixes = (f".{SEGMENT_SUFFIX}", f".{SNAPSHOT_SUFFIX}")
    return any(path.suffix in suffixes or path.name == LOCK_FILE for path in directory.iterdir())


def _read(directory: Path) -> RecoveredContents:
    """Read and check the files without taking the lock, as a running gateway may have the store open."""
    if not _is_store(directory):
        raise _error_exit(f"{directory}: no store there", ExitCode.USAGE)
    try:
        return RecoveredContents(directory, FileSystem())
    except DamagedStoreError as error:
        typer.echo(f"damaged: {error}")
        raise typer.Exit(ExitCode.DAMAGED) from error
    except OSError as error:
        raise _error_exit(error, ExitCode.UNAVAILABLE) from error


def _summarize(contents: RecoveredContents) -> dict[str, Any]:
    """Return a summary of a store; its keys are part of the stable output format of `verify`."""
    return {
        "records": len(contents.index),
        "next_sequence": contents.next_sequence,
        "segments": len(contents.segment_sizes),
        "snapshot": contents.snapshot_number,
        "log_bytes": contents.snapshot_bytes + sum(contents.segment_sizes.values()),
        "live_bytes": sum(record.size for record in contents.index.values()),
        "torn_bytes": contents.torn_bytes,
        "torn_file": contents.torn_file,
    }


@app.command()
def verify(directory: DirectoryArgument, as_json: JsonOption = False) -> None:
    """Read and check all files of the store.

    A torn tail of the last segment is not damage: either it was never acknowledged, or a running gateway is
    writing it at this moment.
    """
    summary = _summarize(_read(directory))
    if as_json:
        typer.echo(json.dumps(summary))
        return
    for name, value in summary.items():
        typer.echo(f"{name}={value}")
    typer.echo("sound")


@app.command()
def show(
    directory: DirectoryArgument,
    as_json: JsonOption = False,
    like: Annotated[str, typer.Option(help="only keys that contain this text")] = "",
) -> None:
    """Print the live records in order of their sequence numbers: sequence number, kind, key and value."""
    for record in sorted(_read(directory).index.values(), key=lambda live: live.sequence):
        row = describe(record.kind, record.key, record.value)
        if like and like not in row["key"]:
            continue
        row = {"sequence": record.sequence, **row}
        typer.echo(json.dumps(row) if as_json else " ".join(f"{name}={value}" for name, value in row.items()))


@app.command()
def compact(directory: DirectoryArgument) -> None:
    """Write the live records to a snapshot, and remove the segments that it replaces.

    The gateway must be stopped.
    """
    _read(directory)
    try:
        store = SegmentStore(directory)
    except StoreLockedError as error:
        raise _error_exit(error, ExitCode.UNAVAILABLE) from error
    bytes_before = store.log_bytes
    try:
        store.compact()
    except (StoreFullError, OSError) as error:
        raise _error_exit(error, ExitCode.UNAVAILABLE) from error
    finally:
        store.close()
    typer.echo(f"{bytes_before} bytes before, {store.log_bytes} after")


def main(arguments: list[str]) -> int:
    """Run the command.

    :returns: the exit code.
    """
    try:
        app(arguments, standalone_mode=True, prog_name="python -m shaletiller store")
    except SystemExit as exit_request:
        return int(exit_request.code or 0)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
