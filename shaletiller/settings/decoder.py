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
NAME = re.compile(r"[!-~](?:[ -~]{0,62}[!-~])?", re.ASCII)
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
SITE_NAMES = {
    ours: f"{section}.{theirs}" if section else theirs
    for section, keys in SETTING_KEYS.items()
    for theirs, ours in keys.items()
}
LIST_NAMES = {
    "classes": ("classes", {ours: theirs for theirs, ours in CLASS_KEYS.items()}),
    "plans": ("contracts", {ours: theirs for theirs, ours in PLAN_KEYS.items()}),
}


def _known_keys(source: Any, keys: Mapping[str, str], where: str) -> dict[str, Any]:
    """Return the values of the known keys that are present, by field name.

    :raises SettingsError: if the source is not an object.
    """
    if not isinstance(source, Mapping):
        raise SettingsError(f"{where}: expected an object")
    return {ours: source[theirs] for theirs, ours in keys.items() if source.get(theirs) is not None}


def _list(info: Mapping[str, Any], name: str) -> list[Any]:
    rows = info.get(name) or []
    if not isinstance(rows, list):
        raise SettingsError(f"{name}: expected a list")
    return rows


def _class(source: Any, at: int, writes: list[Any]) -> dict[str, Any]:
    known = _known_keys(source, CLASS_KEYS, f"classes[{at}]")
    if "effect" not in known:  # it has no default: with "unsafe", reads would never be retried
        raise SettingsError(f"classes[{at}].effect: is missing")
    if not isinstance(known["effect"], str) or known["effect"] not in EFFECTS:
        raise SettingsError(f"classes[{at}].effect: unknown value {known['effect']!r}")
    known["effect"] = EFFECTS[known["effect"]]
    return {**known, "writes": bool(writes[at]) if at < len(writes) else False}


def _check_names(names: list[Any], where: str) -> None:
    """Check that names are valid in a header field and unique.

    Requests specify their class and plan in header fields.

    :raises SettingsError: if a name is invalid or not unique.
    """
    for at, name in enumerate(names):
        if not isinstance(name, str):
            continue
        key = f"{where}[{at}].name"
        if name in names[:at]:
            raise SettingsError(f"{key}: {name!r} occurs twice")
        if not NAME.fullmatch(name):
            raise SettingsError(f"{key}: expected 1 to 64 printable ASCII characters, got {name!r}")


def read_settings(info: Mapping[str, Any]) -> Settings:
    """Read the settings.  Missing keys have default values, unknown keys are ignored.

    :raises SettingsError: if a value is invalid; the message begins with the key of the first invalid value.
    """
    known: dict[str, Any] = {}
    for section, keys in SETTING_KEYS.items():
        known.update(_known_keys(info.get(section) or {} if section else info, keys, section or "settings"))
    domain: Mapping[str, Any] = info.get("domain") or {}
    writes = _list(domain, "writes")
    known["classes"] = [_class(each, at, writes) for at, each in enumerate(_list(info, "classes"))]
    known["plans"] = [
        _known_keys(each, PLAN_KEYS, f"contracts[{at}]") for at, each in enumerate(_list(info, "contracts"))
    ]
    for section in ("classes", "plans"):
        _check_names([each.get("name") for each in known[section]], LIST_NAMES[section][0])
    known["subscribed"] = info.get("discovery") == "subscribe"
    try:
        return msgspec.convert(known, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(_with_site_key(str(error))) from error


def _with_site_key(text: str) -> str:
    """Rewrite an error message of msgspec so that it begins with the settings key of the invalid value."""
    message, _, path = text.partition(" - at `$")
    found = re.fullmatch(r"\.?(\w*)(\[(?:\d+|\.\.\.)\])?(?:\.(\w+))?`", path)
    if found is None:
        return next(
            (
                f"{SITE_NAMES[name]}{text.removeprefix(name)}"
                for name in SITE_NAMES
                if text.startswith(name + ":")
            ),
            text,
        )
    top, index, key = found.groups()
    if top in LIST_NAMES:
        shown, keys = LIST_NAMES[top]
        name, _, rest = message.partition(":")
        key, message = (name, rest.strip()) if key is None and name in keys else (key, message)
        return f"{shown}{index or ''}{'.' + keys.get(key, key) if key else ''}: {message}"
    return f"{SITE_NAMES.get(top, top)}: {message}" if top else message
