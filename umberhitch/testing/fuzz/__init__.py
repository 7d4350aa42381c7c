"""Stateful fuzzing of whole deployments against the oracle."""

from umberhitch.testing.fuzz._machine import DeploymentMachine

__all__ = ["DeploymentMachine"]
