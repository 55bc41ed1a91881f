"""Conversion of TOML tables to settings, with one error per invalid key."""

import typing

import msgspec

from chivescale.settings._model import Settings


def convert_settings(tables: dict) -> tuple[Settings | None, list[str]]:
    """Build settings, or return ``key: reason`` for each invalid key.

    msgspec stops at the first error, so each key is converted separately.
    """
    errors: list[str] = []
    sections = {}
    known = {item.name: item for item in msgspec.structs.fields(Settings)}
    for name in tables.keys() - known.keys():
        errors.append(f"{_format_key(name)}: unknown section")
    for name, field in known.items():
        table = tables.get(name)
        if table is None:
            if field.required:
                errors.append(f"{name}: section is missing")
        elif not isinstance(table, dict):
            errors.append(f"{name}: expected a section")
        else:
            sections[name] = _convert_section(name, field.type, table, errors)
    if errors:
        return None, sorted(errors)
    return Settings(**sections), []


def _convert_section(
    section: str, model: typing.Any, table: dict, errors: list[str]
) -> typing.Any:
    values = {}
    known = {item.name: item for item in msgspec.structs.fields(model)}
    for name in table.keys() - known.keys():
        errors.append(f"{section}.{_format_key(name)}: unknown key")
    missing = False
    for name, field in known.items():
        key = f"{section}.{name}"
        if name not in table:
            if field.required:
                errors.append(f"{key}: key is missing")
                missing = True
            continue
        try:
            values[name] = msgspec.convert(table[name], field.type)
        except (msgspec.ValidationError, RecursionError) as err:
            errors.append(_format_error(key, str(err)))
            missing = missing or field.required
    return None if missing else model(**values)


def _format_error(key: str, text: str) -> str:
    """Turn ``Expected ... - at `$[0].name``` into ``key[0].name: ...``."""
    reason, _, path = text.partition(" - at `$")
    reason = reason.replace("`", "")
    reason = reason[:1].lower() + reason[1:]
    return f"{key}{path.removesuffix('`')}: {reason}"


def _format_key(name: str) -> str:
    return name if name.isidentifier() and name.isascii() else ascii(name)
