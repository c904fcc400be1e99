"""Decoder of the settings object.

The first message of the simulator and the configuration of a gateway contain the same object.  Its keys are
defined by the site; only the tables of this module refer to them.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

from shaletiller.settings.errors import SettingsError
from shaletiller.settings.model import Settings

# Class and plan names are sent in HTTP header fields.
NAME_PATTERN = re.compile(r"[!-~](?:[ -~]{0,62}[!-~])?", re.ASCII)
EFFECTS = {"read_like": "safe", "idempotency_key": "keyed", "non_idempotent": "unsafe"}
CLASS_KEYS = {
    "name": "name",
    "target-ms": "latency_objective_ms",
    "hard-limit-ms": "deadline_ms",
    "importance": "priority_weight",
    "late-share": "late_answer_share",
    "key-ttl-ms": "key_ttl_ms",
    "by-arrival": "ordered",
    "streaming": "streaming",
    "dedup-scope": "deduplication_scope",
    "effect": "effect",
}
PLAN_KEYS = {
    "name": "name",
    "base-rate": "base_rate",
    "reserve": "reserved_rate",
    "proportion": "weight",
    "value-factor": "value_factor",
    "ceiling-rate": "limit_rate",
    "burst": "limit_burst",
    "slack": "limit_slack",
}
SETTING_KEYS = {
    "": {"position": "gateway_index", "balancers": "gateways", "zone": "zone", "tick-ms": "tick_ms"},
    "domain": {
        "mean-units": "mean_units",
        "most-units": "max_units",
        "within-share": "fair_share_tier_weight",
        "beyond-share": "excess_tier_weight",
        "meter-ms": "usage_period_ms",
        "counts-others": "counts_other_gateways",
        "cold-bears": "warm_up_units",
        "shards": "shards",
    },
    "limits": {
        "max-attempts": "max_attempts",
        "second-copies": "hedging_allowed",
        "cancel": "cancellation_allowed",
        "probes": "health_checks_allowed",
        "peers": "peer_messages_allowed",
        "retry-after": "retry_after_allowed",
        "max-retry-after-ms": "max_retry_after_ms",
        "conn-idle-ms": "connection_idle_ms",
        "connect-timeout-ms": "connect_timeout_ms",
    },
    "clients": {"marks-retry": "retries_marked"},
    "obligations": {
        "answer-slack-ms": "answer_slack_ms",
        "drain-grace-ms": "drain_grace_ms",
        "fall-multiple": "overload_multiple",
        "fall-ms": "overload_window_ms",
        "start-capacity": "initial_capacity_share",
        "ramp-time-ms": "slow_start_ms",
        "turn-gap-ms": "ordering_gap_ms",
        "extra-free": "retry_budget_free",
        "budget-share": "retry_budget_share",
        "budget-span-ms": "retry_budget_window_ms",
        "ask-within-ms": "poll_within_ms",
    },
    "deductions": {"probe": "health_check_cost", "peer": "peer_message_cost", "waste": "wasted_work_cost"},
    "load-info": {"columns": "load_report_fields"},
}
# The settings key of each field, for error messages.
KEYS_BY_FIELD = {
    field: f"{section}.{key}" if section else key
    for section, keys in SETTING_KEYS.items()
    for key, field in keys.items()
}
LIST_KEYS = {
    "classes": ("classes", {field: key for key, field in CLASS_KEYS.items()}),
    "plans": ("contracts", {field: key for key, field in PLAN_KEYS.items()}),
}


def _read_known_keys(source: Any, keys: Mapping[str, str], path: str) -> dict[str, Any]:
    """Return the values of the known keys that are present, by field name.

    :raises SettingsError: if the source is not an object.
    """
    if not isinstance(source, Mapping):
        raise SettingsError(f"{path}: expected an object")
    return {field: source[key] for key, field in keys.items() if source.get(key) is not None}


def _read_list(info: Mapping[str, Any], name: str) -> list[Any]:
    rows = info.get(name) or []
    if not isinstance(rows, list):
        raise SettingsError(f"{name}: expected a list")
    return rows


def _read_class(source: Any, index: int, writes: list[Any]) -> dict[str, Any]:
    known = _read_known_keys(source, CLASS_KEYS, f"classes[{index}]")
    if "effect" not in known:  # it has no default: with "unsafe", reads would never be retried
        raise SettingsError(f"classes[{index}].effect: is missing")
    if not isinstance(known["effect"], str) or known["effect"] not in EFFECTS:
        raise SettingsError(f"classes[{index}].effect: unknown value {known['effect']!r}")
    known["effect"] = EFFECTS[known["effect"]]
    return {**known, "writes": bool(writes[index]) if index < len(writes) else False}


def _check_names(names: list[Any], list_key: str) -> None:
    """Check that names are valid in a header field and unique.

    Requests specify their class and plan in header fields.

    :raises SettingsError: if a name is invalid or not unique.
    """
    for index, name in enumerate(names):
        if not isinstance(name, str):
            continue
        key = f"{list_key}[{index}].name"
        if name in names[:index]:
            raise SettingsError(f"{key}: {name!r} occurs twice")
        if not NAME_PATTERN.fullmatch(name):
            raise SettingsError(f"{key}: expected 1 to 64 printable ASCII characters, got {name!r}")


def read_settings(info: Mapping[str, Any]) -> Settings:
    """Read the settings.  Missing keys have default values, unknown keys are ignored.

    :raises SettingsError: if a value is invalid; the message begins with the key of the first invalid value.
    """
    known: dict[str, Any] = {}
    for section, keys in SETTING_KEYS.items():
        known.update(
            _read_known_keys(info.get(section) or {} if section else info, keys, section or "settings")
        )
    domain: Mapping[str, Any] = info.get("domain") or {}
    writes = _read_list(domain, "writes")
    known["classes"] = [
        _read_class(row, index, writes) for index, row in enumerate(_read_list(info, "classes"))
    ]
    known["plans"] = [
        _read_known_keys(row, PLAN_KEYS, f"contracts[{index}]")
        for index, row in enumerate(_read_list(info, "contracts"))
    ]
    for section in ("classes", "plans"):
        _check_names([row.get("name") for row in known[section]], LIST_KEYS[section][0])
    known["subscribed"] = info.get("discovery") == "subscribe"
    try:
        return msgspec.convert(known, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(_with_settings_key(str(error))) from error


def _with_settings_key(text: str) -> str:
    """Rewrite an error message of msgspec so that it begins with the settings key of the invalid value."""
    message, _, path = text.partition(" - at `$")
    match = re.fullmatch(r"\.?(\w*)(\[(?:\d+|\.\.\.)\])?(?:\.(\w+))?`", path)
    if match is None:
        return next(
            (
                f"{KEYS_BY_FIELD[name]}{text.removeprefix(name)}"
                for name in KEYS_BY_FIELD
                if text.startswith(name + ":")
            ),
            text,
        )
    field, index, key = match.groups()
    if field in LIST_KEYS:
        list_key, keys = LIST_KEYS[field]
        name, _, rest = message.partition(":")
        key, message = (name, rest.strip()) if key is None and name in keys else (key, message)
        return f"{list_key}{index or ''}{'.' + keys.get(key, key) if key else ''}: {message}"
    return f"{KEYS_BY_FIELD.get(field, field)}: {message}" if field else message
