"""rackhub: the decisions of a query gateway in front of query engines with limited memory."""

from rackhub.control import Control

__all__ = ["Control"]
