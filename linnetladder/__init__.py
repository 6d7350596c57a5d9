"""A model-aware request router with versions and cascades of models.

Daemons proxy requests from callers to endpoints. Each request is routed to a model and
version that its client account allows, answered once and billed once. Every decision
and refusal can be explained afterwards.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
