"""A whole deployment in one process, for the demo, end-to-end tests and benchmarks."""

from umberhitch.embedded._deployment import EmbeddedDeployment, EndpointSpec, start_deployment

__all__ = ["EmbeddedDeployment", "EndpointSpec", "start_deployment"]
