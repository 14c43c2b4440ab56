"""Types of the operator's file: the TDS front, TDS engines and the optional components, all disabled by default."""

import base64
import binascii
import hashlib
import hmac
import os
from typing import Any

import msgspec

SCRYPT = {"n": 1 << 12, "r": 8, "p": 1, "dklen": 32}  # some 10 ms of processor time


def hash_password(password: str, salt: bytes | None = None) -> str:
    """Return a password's hash for the file: `scrypt:SALT:KEY` in base64. Its default salt is random."""
    salt = os.urandom(16) if salt is None else salt
    key = hashlib.scrypt(password.encode(), salt=salt, **SCRYPT)
    return "scrypt:" + base64.b64encode(salt).decode() + ":" + base64.b64encode(key).decode()


class TdsLogin(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One login and the defaults of its batches.

    `password` is a hash from `rackhub hash-password`. Raises `ValueError` for other values and a negative `budget_ms`.
    """

    user: str
    password: str
    cls: str = msgspec.field(name="class")
    tenants: list[str] = []
    budget_ms: int = 0  # time-out of a batch; 0: the class's deadline

    def has_password(self, password: str) -> bool:
        """Return whether this is the login's password, compared in constant time."""
        _, salt, _ = self.password.split(":")
        return hmac.compare_digest(hash_password(password, base64.b64decode(salt)), self.password)

    def __post_init__(self) -> None:
        parts = self.password.split(":")
        try:
            sizes = [len(base64.b64decode(part, validate=True)) for part in parts[1:]]
            valid = parts[0] == "scrypt" and sizes == [16, 32]
        except binascii.Error:
            valid = False
        if not valid:
            raise ValueError("password is not a hash printed by hash-password (scrypt:SALT:KEY)")
        if self.budget_ms < 0:
            raise ValueError("budget_ms is below the minimum of 0")


class TdsFrontSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """TDS front: its listening address, the name of its database and its logins."""

    listen: str
    database: str
    login: list[TdsLogin]

    def authenticate(self, user: str, password: str) -> TdsLogin | None:
        """Return the login of this user and password, or None. Unknown users take as much time as known ones."""
        found = next((login for login in self.login if login.user == user), None)
        if found is None:
            hash_password(password, b"0" * 16)
            return None
        return found if found.has_password(password) else None


class TdsEngineSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Login for the engines. If it is set, all engines of the endpoint list are reached by TDS."""

    user: str
    password: str
    database: str = ""


class Operator(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Content of the operator's file. Each optional component checks its own table when it is loaded."""

    tds_front: TdsFrontSettings | None = None
    tds_engines: TdsEngineSettings | None = None
    store: dict[str, Any] | None = None
    timings: dict[str, Any] | None = None
    fleet: dict[str, Any] | None = None
    gather: dict[str, Any] | None = None
