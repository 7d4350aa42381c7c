"""The operators' query and command language."""

from umberhitch.language._compile import compile_changes
from umberhitch.language._parser import (
    LanguageError,
    make_finding,
    make_parser,
    make_permission,
    make_rollout,
    make_state_change,
    parse_statements,
    unquote,
)
from umberhitch.language._rows import count_rows, select_rows
from umberhitch.language._statements import *  # noqa: F403
from umberhitch.language._statements import __all__ as _statement_names

__all__ = [
    "LanguageError",
    "compile_changes",
    "count_rows",
    "make_finding",
    "make_state_change",
    "make_parser",
    "make_permission",
    "make_rollout",
    "parse_statements",
    "select_rows",
    "unquote",
    *_statement_names,
]
