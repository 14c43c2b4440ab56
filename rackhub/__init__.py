"""rackhub: a load balancer for query engines with limited memory."""

from rackhub.policy.router import Router

__all__ = ["Router"]
