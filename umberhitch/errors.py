"""The exception tree of umberhitch."""

__all__ = [
    "AppenderFullError",
    "BadAskError",
    "ConfigError",
    "FrameError",
    "LogAnswerLostError",
    "LogBrokenOffError",
    "LogError",
    "LogReplacedError",
    "LogRestoredError",
    "LogTrimmedError",
    "LogUnavailableError",
    "SessionError",
    "SettingsError",
    "UmberhitchError",
]


class UmberhitchError(Exception):
    """Base of every error that umberhitch raises on purpose."""


class ConfigError(UmberhitchError):
    """A configuration or a change of it is not valid; ``findings`` says where."""

    def __init__(self, findings: list) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class SettingsError(ConfigError):
    """A settings file of the daemon is not valid."""


class BadAskError(UmberhitchError):
    """A caller's request is not proper; ``status`` is the answer's."""

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


class FrameError(UmberhitchError):
    """A frame from a peer could not be decoded and was dropped."""


class SessionError(UmberhitchError):
    """A session token is malformed, expired or signed with an unknown key."""


class LogError(UmberhitchError):
    """The log service did not answer as asked."""


class LogUnavailableError(LogError):
    """The log service refused the call; nothing was appended."""


class LogAnswerLostError(LogError):
    """The call was sent but its answer was lost; the append may have taken effect."""


class LogBrokenOffError(LogAnswerLostError):
    """An answer had begun to come, and was not completed."""


class LogTrimmedError(LogError):
    """The offset asked for is older than the records that the log service retains."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"records before offset {first_offset} are no longer retained")
        self.first_offset = first_offset


class LogReplacedError(LogError):
    """Of the records after an offset most are replaced by newer ones: the newest are to be read."""


class LogRestoredError(LogError):
    """The log service returned from an older copy: the position asked for is of another epoch."""


class AppenderFullError(LogError):
    """The bounded queue before the log service is full."""
