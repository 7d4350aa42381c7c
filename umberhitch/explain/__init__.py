"""A request's story from the collected logs of several processes."""

from umberhitch.explain._story import Line, read_lines, tell

__all__ = ["Line", "read_lines", "tell"]
