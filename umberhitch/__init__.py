"""umberhitch: a model-aware router for model versions and cascades."""

__all__ = ["PROTOCOL_VERSION", "__version__"]

__version__ = "0.1.0"

PROTOCOL_VERSION = 1
"""Version of the frames between umberhitch processes; a peer accepts its own and the one before."""
