"""`python -m shaletiller store show|verify|compact DIR`: look at a store, check it, or write it anew.

Exit codes: 0 sound, 1 damaged (named), 2 wrong use, 3 open in another process or not readable.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from shaletiller.replication.rows import describe
from shaletiller.store.files import Files, StoreLockedError
from shaletiller.store.record_format import DamagedStoreError
from shaletiller.store.segment_store import LOCK, Contents, Store, StoreFullError

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A gateway's store: docs/store.md.",
)
Folder = Annotated[
    Path, typer.Argument(metavar="DIR", exists=True, file_okay=False, help="the store's folder")
]
Json = Annotated[bool, typer.Option("--json", help="one JSON object instead of lines")]


def _read(folder: Path) -> Contents:
    """What the files hold, without opening the store: a running gateway may have it."""
    if not any(path.suffix in (".seg", ".snap") or path.name == LOCK for path in folder.iterdir()):
        typer.echo(f"store: {folder}: no store there", err=True)
        raise typer.Exit(2)
    try:
        return Contents(folder, Files())
    except DamagedStoreError as error:
        typer.echo(f"damaged: {error}")
        raise typer.Exit(1) from error
    except OSError as error:
        typer.echo(f"store: {error}", err=True)
        raise typer.Exit(3) from error


def _told(found: Contents) -> dict[str, Any]:
    live = sum(record.size for record in found.index.values())
    return {
        "records": len(found.index),
        "next_sequence": found.next,
        "segments": len(found.segments),
        "snapshot": found.snapshot,
        "log_bytes": found.snapshot_bytes + sum(found.segments.values()),
        "live_bytes": live,
        "torn_bytes": found.torn,
        "torn_file": found.torn_file,
    }


@app.command()
def verify(folder: Folder, as_json: Json = False) -> None:
    """Read and check every byte.  A torn tail of the last segment is no damage: it was never acknowledged, or
    is being written just now."""
    told = _told(_read(folder))
    if as_json:
        typer.echo(json.dumps(told))
        return
    for name, value in told.items():
        typer.echo(f"{name}={value}")
    typer.echo("sound")


@app.command()
def show(
    folder: Folder,
    as_json: Json = False,
    like: Annotated[str, typer.Option(help="only keys that hold this text")] = "",
) -> None:
    """The live records, oldest first: sequence, what it is, key, and what it says."""
    for record in sorted(_read(folder).index.values(), key=lambda each: each.sequence):
        row = describe(record.kind, record.key, record.value)
        if like and like not in row["key"]:
            continue
        row = {"sequence": record.sequence, **row}
        typer.echo(json.dumps(row) if as_json else " ".join(f"{name}={value}" for name, value in row.items()))


@app.command()
def compact(folder: Folder) -> None:
    """Write what is live into a snapshot, and drop the log before it.  The gateway must be stopped."""
    _read(folder)
    try:
        store = Store(folder)
    except StoreLockedError as error:
        typer.echo(f"store: {error}", err=True)
        raise typer.Exit(3) from error
    before = store.log_bytes
    try:
        store.compact()
    except (StoreFullError, OSError) as error:
        typer.echo(f"store: {error}", err=True)
        raise typer.Exit(3) from error
    finally:
        store.close()
    typer.echo(f"{before} bytes before, {store.log_bytes} after")


def main(words: list[str]) -> int:
    try:
        app(words, standalone_mode=True, prog_name="python -m shaletiller store")
    except SystemExit as ended:
        return int(ended.code or 0)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
