"""Syntax of names that operators assign."""

import typing as t

import msgspec

Name = t.Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64)
]
