"""Generates the settings reference from the schema.

Run ``python -m chivesaddle.core.settings_reference FILE`` to write the reference, or
with ``--check`` to fail if the file differs.
"""

from collections.abc import Iterator
from pathlib import Path
from types import UnionType
from typing import Annotated, Any, get_args, get_origin

import typer
from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from chivesaddle.core.settings import Settings

HEADER = """# Settings of `chivesaddled`

The daemon reads one JSON file, named with `--config`. Unknown fields are refused. This
page is generated from the schema by `make settings-reference`.

| field | type | default | meaning |
|---|---|---|---|
"""


def render() -> str:
    """Return the settings reference as Markdown."""
    rows = [
        f"| `{name}` | {_type_name(field)} | {_default(field)} | {field.description} |"
        for name, field in _walk_fields(Settings, "")
    ]
    return HEADER + "\n".join(rows) + "\n"


def _walk_fields(
    section: type[BaseModel], prefix: str
) -> Iterator[tuple[str, FieldInfo]]:
    for name, field in section.model_fields.items():
        nested = _find_section(field.annotation)
        if nested is None:
            yield prefix + name, field
            continue
        if field.description:
            yield prefix + name, field
        suffix = "[]" if get_origin(field.annotation) is tuple else ""
        yield from _walk_fields(nested, f"{prefix}{name}{suffix}.")


def _find_section(annotation: Any) -> type[BaseModel] | None:
    candidates = [annotation, *get_args(annotation)]
    return next(
        (c for c in candidates if isinstance(c, type) and issubclass(c, BaseModel)),
        None,
    )


def _type_name(field: FieldInfo) -> str:
    annotation = field.annotation
    if isinstance(annotation, UnionType):
        annotation = get_args(annotation)[0]
    if get_origin(annotation) is tuple:
        return "list"
    if _find_section(annotation) is not None:
        return "object"
    names = {int: "integer", Path: "path"}
    return names.get(annotation, "string")  # type: ignore[arg-type]


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "required"
    if field.default is None:
        return "absent"
    if field.default == ():
        return "`[]`"
    return f"`{field.default}`"


def main(
    path: Path,
    check: Annotated[bool, typer.Option(help="Fail if the file differs")] = False,
) -> None:
    """Write the settings reference to PATH, or check it."""
    text = render()
    if not check:
        path.write_text(text)
    elif path.read_text() != text:
        typer.echo(f"{path} is out of date; run make settings-reference", err=True)
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
