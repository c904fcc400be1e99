"""Checks of the operator file that involve several values; each error message begins with the faulty key."""

from __future__ import annotations

import re

from shaletiller.config.operator_model import FleetConfig, OperatorFile

ADDRESS = re.compile(r"\S+:\d{1,5}", re.ASCII)


def check_operator_file(file: OperatorFile) -> None:
    """Check the values of the file for consistency.

    :raises ValueError: if they are inconsistent; the message is `key: message`.
    """
    _check_fleet(file.fleet)
    _check_replication(file)
    _check_fleet_options(file.fleet)


def _check_fleet(fleet: FleetConfig) -> None:
    member_names = [member.name for member in fleet.member]
    for index, member in enumerate(fleet.member):
        _check_unique(member.name, member_names, f"fleet.member[{index}].name")
        if fleet.carrier == "tcp" and not ADDRESS.fullmatch(member.address):
            raise ValueError(f"fleet.member[{index}].address: expected host:port, got {member.address!r}")
    limit_names = [limit.name for limit in fleet.limit]
    for index, name in enumerate(limit_names):
        _check_unique(name, limit_names, f"fleet.limit[{index}].name")


def _check_replication(file: OperatorFile) -> None:
    replication = file.replication
    class_names = [row.name for row in replication.class_]
    for index, name in enumerate(class_names):
        _check_unique(name, class_names, f"promises.class[{index}].name")
    if replication.on and not file.store.dir:
        raise ValueError("promises.on: needs the store's directory, store.dir")
    if replication.on and (file.fleet.carrier != "tcp" or not file.fleet.member):
        raise ValueError('promises.on: needs the members of a fleet and its carrier "tcp"')


def _check_fleet_options(fleet: FleetConfig) -> None:
    try:
        fleet.options(max(1, len(fleet.member)))
    except ValueError as error:
        name, _, message = str(error).partition(": ")
        raise ValueError(f"fleet.{name.replace('_', '-')}: {message}") from error


def _check_unique(name: str, names: list[str], key: str) -> None:
    if names.count(name) > 1:
        raise ValueError(f"{key}: {name!r} occurs twice")
