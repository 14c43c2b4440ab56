"""rackhub: the decisions of a query gateway in front of query engines with limited memory."""

from rackhub.policy.router import Router

__all__ = ["Router"]
