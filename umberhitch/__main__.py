"""``python -m umberhitch`` runs the command-line tool."""

from umberhitch.cli.tool import run

run()
