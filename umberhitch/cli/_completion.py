"""Completion scripts for shells."""

__all__ = ["SHELLS", "WORDS", "completion_script"]

SHELLS = ("bash", "zsh")
WORDS = (
    "show count explain history bill burn status in-force activate stage retire quarantine "
    "withdraw permit forbid set add remove roll hold go versions models customers classes "
    "services keys endpoints routers requests rollouts where sort limit by"
)
FLAGS = (
    "--router --key_file --ca_file --output --file --dry_run --if_revision --wait --timeout "
    "--completion --version --help"
)

_BASH = """_umberhitch() {{
    COMPREPLY=($(compgen -W "{words} {flags}" -- "${{COMP_WORDS[COMP_CWORD]}}"))
}}
complete -F _umberhitch umberhitch
"""
_ZSH = """#compdef umberhitch
_umberhitch() {{
    compadd -- {words} {flags}
}}
compdef _umberhitch umberhitch
"""


def completion_script(shell: str) -> str:
    """Return the completion script of a shell in `SHELLS`."""
    template = _BASH if shell == "bash" else _ZSH
    return template.format(words=WORDS, flags=FLAGS)
