"""The state machine, with fixed seeds."""

from hypothesis import settings

from umberhitch.testing.fuzz import DeploymentMachine

TestDeployment = DeploymentMachine.TestCase
TestDeployment.settings = settings(max_examples=40, stateful_step_count=25)
