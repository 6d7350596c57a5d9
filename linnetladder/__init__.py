"""A model-aware router for versions and cascades.

Daemons stand between callers and endpoints. Each request is routed to a model and
version that its client account allows, answered once, billed once, and every
decision and refusal can be explained afterwards.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
