"""Configuration: its objects, its changes, and the fold of the log stream that holds them.

`parse_document` and its kin need pydantic and are imported from `umberhitch.config.documents`, so
that an agent, which only folds, does not carry it in memory.
"""

from umberhitch.config._catchup import CatchUp
from umberhitch.config._change import (
    Change,
    Delete,
    Kind,
    Put,
    SetState,
    Snapshot,
    decode_record,
    encode_record,
    row_name,
    touched_object,
)
from umberhitch.config._fold import (
    Accepted,
    Fold,
    Ignored,
    Rejected,
    Verdict,
    check_references,
)
from umberhitch.config._model import (
    Config,
    Customer,
    Limits,
    Model,
    Policy,
    RequestClass,
    Rollout,
    RolloutState,
    Service,
    SigningKey,
    Version,
    VersionState,
    version_key,
)
from umberhitch.findings import Finding, format_findings

__all__ = [
    "Accepted",
    "CatchUp",
    "Change",
    "Config",
    "Customer",
    "Delete",
    "Finding",
    "Fold",
    "Ignored",
    "Kind",
    "Limits",
    "Model",
    "Policy",
    "Put",
    "Rejected",
    "RequestClass",
    "Rollout",
    "RolloutState",
    "Service",
    "SetState",
    "SigningKey",
    "Snapshot",
    "Verdict",
    "Version",
    "VersionState",
    "check_references",
    "decode_record",
    "encode_record",
    "format_findings",
    "row_name",
    "touched_object",
    "version_key",
]
