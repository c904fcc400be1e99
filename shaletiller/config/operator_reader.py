"""Reads the operator file, a KDL document (https://kdl.dev, version 1).

    fleet {
        name "campus"
        carrier "tcp"
        member "g0" address="10.0.0.4:7100" zone="a"
        member "g1" address="10.0.0.5:7100" zone="b"
        limit "gold" policy="available"
        term-ms 2000
    }

A node with children is a group, and a node without children is a value.  Nodes that may occur several times
form a list, whose items are named by their first argument.  Each error names its line and key.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

from shaletiller.config.errors import OperatorFileError
from shaletiller.config.operator_checks import check_operator_file
from shaletiller.config.operator_model import Group, OperatorFile


def read_operator_file(path: Path) -> OperatorFile:
    """Read and check the file.

    :raises OperatorFileError: if the file is invalid; the message names the line and the key.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorFileError(f"{path.name}: cannot be read: {error}") from error
    document = _parse(path.name, text)
    converter = _Converter(path.name, document.lines)
    values = converter.group(document.nodes, OperatorFile, "")
    try:
        file = msgspec.convert(values, OperatorFile)
        check_operator_file(file)
    except msgspec.ValidationError as error:
        message, _, key = str(error).partition(" - at `$.")
        raise converter.error(key.rstrip("`"), message) from error
    except ValueError as error:
        key, _, message = str(error).partition(": ")
        raise converter.error(key, message) from error
    return file


@dataclass(slots=True, frozen=True)
class _Document:
    """A parsed document; `lines` maps the `id()` of each node to its line."""

    nodes: list[Any]
    lines: dict[int, int]


def _parse(file_name: str, text: str) -> _Document:
    # Imported only if there is an operator file, because the KDL library takes 60 ms to load.
    import kdl.errors
    import kdl.parsefuncs
    import kdl.parsing

    lines: dict[int, int] = {}

    def record_line(node: Any, fragment: Any) -> Any:
        lines[id(node)] = fragment.error("").line  # the library gives positions only in errors
        return node

    converters: dict[Any, Any] = {(None, None): record_line, (..., ...): record_line}
    try:
        document = kdl.parsefuncs.parse(text, kdl.parsing.ParseConfig(nodeConverters=converters))
    except kdl.errors.ParseError as error:
        message = error.msg.split(": ", 1)[-1]
        raise OperatorFileError(f"{file_name}: line {error.line}: {message}") from error
    return _Document(document.nodes, lines)


@dataclass(slots=True)
class _Converter:
    """Converts the nodes of a document to dictionaries, which msgspec converts to the model.

    `key_lines` maps each converted key, such as `fleet.member[0]`, to its line.
    """

    file_name: str
    node_lines: dict[int, int]
    key_lines: dict[str, int] = field(default_factory=dict)

    def error(self, key: str, message: str) -> OperatorFileError:
        """Return an error with the line of its key, or of the innermost enclosing group with a known line."""
        known_key = key
        while known_key and known_key not in self.key_lines:
            known_key = known_key.rpartition(".")[0]
        line = f"line {self.key_lines[known_key]}: " if known_key else ""
        text = f"{key}: {message}" if key else message
        return OperatorFileError(f"{self.file_name}: {line}{text}")

    def group(self, nodes: Sequence[Any], model: type[Group], path: str) -> dict[str, Any]:
        """Convert a group's nodes.

        :param path: the key of the group; empty for the whole document.
        :raises OperatorFileError: if a node does not match the model.
        """
        fields = _field_types(model)
        values: dict[str, Any] = {}
        for node in nodes:
            key = f"{path}.{node.name}" if path else node.name
            if node.name not in fields:
                raise self._node_error(node, key, f"unknown key; there are {', '.join(sorted(fields))}")
            field_type = fields[node.name]
            item_model = _item_model(field_type)
            if item_model is not None:
                self._append_item(values.setdefault(node.name, []), node, item_model, key)
            elif node.name in values:
                raise self._node_error(node, key, "occurs twice")
            else:
                values[node.name] = self._convert_single(node, field_type, key)
        return values

    def _append_item(self, items: list[Any], node: Any, model: type[Group], key: str) -> None:
        """Convert a node of a list and append it; its first argument is the item's name."""
        line = self._line_of(node)
        item_key = f"{key}[{len(items)}]"
        self.key_lines.setdefault(key, line)
        self.key_lines[item_key] = line
        if len(node.args) != 1:
            raise self._node_error(node, key, "expected one name followed by properties")
        children = self.group(node.nodes, model, item_key)
        fields = _field_types(model)
        properties = {name: _convert_integer(value, fields.get(name)) for name, value in node.props.items()}
        items.append({"name": node.args[0], **properties, **children})

    def _convert_single(self, node: Any, field_type: Any, key: str) -> Any:
        """Convert a group or value that may occur only once."""
        self.key_lines[key] = self._line_of(node)
        if isinstance(field_type, type) and issubclass(field_type, Group):
            if node.args or node.props:
                raise self._node_error(node, key, "is a group, expected its values in braces")
            return self.group(node.nodes, field_type, key)
        if len(node.args) != 1 or node.props or node.nodes:
            raise self._node_error(node, key, "expected one value")
        return _convert_integer(node.args[0], field_type)

    def _line_of(self, node: Any) -> int:
        return self.node_lines.get(id(node), 0)

    def _node_error(self, node: Any, key: str, message: str) -> OperatorFileError:
        return OperatorFileError(f"{self.file_name}: line {self._line_of(node)}: {key}: {message}")


def _convert_integer(value: Any, field_type: Any) -> Any:
    """Convert the value of an integer field to int: the library reads every decimal number as a float."""
    is_whole = field_type is int and isinstance(value, float) and value.is_integer()
    return int(value) if is_whole else value


def _field_types(model: type[Group]) -> dict[str, Any]:
    """Return the types of a model's fields by their keys in the file."""
    hints = get_type_hints(model)
    return {item.encode_name: hints[item.name] for item in msgspec.structs.fields(model)}


def _item_model(field_type: Any) -> type[Group] | None:
    """Return the model of a list's items, or None if the type is not a list of groups."""
    item = get_args(field_type)[0] if get_origin(field_type) is tuple else None
    return item if isinstance(item, type) and issubclass(item, Group) else None
