"""Types of the operator's file: the TDS front, TDS engines, and the optional components, all off by default."""

import base64
import binascii
import hashlib
import hmac
import os
from typing import Any

import msgspec

SCRYPT = {"n": 1 << 12, "r": 8, "p": 1, "dklen": 32}  # cheap enough to run on the event loop at each login


def hash_password(password: str, salt: bytes | None = None) -> str:
    """The text that the file holds for a password: `scrypt:SALT:KEY` in base64; a random salt where none is given."""
    salt = os.urandom(16) if salt is None else salt
    key = hashlib.scrypt(password.encode(), salt=salt, **SCRYPT)
    return "scrypt:" + base64.b64encode(salt).decode() + ":" + base64.b64encode(key).decode()


class TdsLogin(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One login and the defaults of its batches.

    `password` is what `rackhub hash-password` printed. Raises `ValueError` for anything else.
    """

    user: str
    password: str
    cls: str = msgspec.field(name="class")
    tenants: list[str] = []
    budget_ms: int = 0  # 0: the class's deadline

    def has_password(self, password: str) -> bool:
        """Whether this is the login's password, compared in constant time."""
        _, salt, _ = self.password.split(":")
        return hmac.compare_digest(hash_password(password, base64.b64decode(salt)), self.password)

    def __post_init__(self) -> None:
        parts = self.password.split(":")
        try:
            sizes = [len(base64.b64decode(part, validate=True)) for part in parts[1:]]
            sound = parts[0] == "scrypt" and sizes == [16, 32]
        except binascii.Error:
            sound = False
        if not sound:
            raise ValueError("password is not what hash-password prints")
        if self.budget_ms < 0:
            raise ValueError("budget_ms is below 0")


class TdsFrontSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The TDS front: the address it listens on, the database it offers and who may log in."""

    listen: str
    database: str
    login: list[TdsLogin]

    def authenticate(self, user: str, password: str) -> TdsLogin | None:
        """The login of this user and password, or None. An unknown user costs as much time as a known one."""
        found = next((login for login in self.login if login.user == user), None)
        if found is None:
            hash_password(password, b"0" * 16)
            return None
        return found if found.has_password(password) else None


class TdsEngineSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where this is set, all engines of the endpoint list are spoken to in TDS."""

    user: str
    password: str
    database: str = ""


class Operator(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The whole file. The optional components read and check their own tables when they are loaded."""

    tds_front: TdsFrontSettings | None = None
    tds_engines: TdsEngineSettings | None = None
    store: dict[str, Any] | None = None
    timings: dict[str, Any] | None = None
    fleet: dict[str, Any] | None = None
    gather: dict[str, Any] | None = None
