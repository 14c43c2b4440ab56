"""Counters of what the process receives, sends and answers; printed on request and at exit.

The names are those of the operators' pages and stay as they are.
"""


class Counters(dict[str, int]):
    """Counters by name. Only names in `NAMES` exist, so that a misspelt one raises `KeyError` at once in a test."""

    NAMES = (
        "clients_accepted",
        "clients_refused",
        "clients_closed",
        "clients_evicted",
        "clients_silent",
        "clients_half",
        "clients_idle",
        "clients_unread",
        "clients_slowed",
        "clients_lingering",
        "lines_dropped",
        "halves_dropped",
        "lines_in",
        "requests_in",
        "cancels_in",
        "alives_in",
        "bad_json",
        "bad_request",
        "bad_method",
        "bad_params",
        "too_long",
        "too_many_open",
        "served",
        "refused",
        "failed",
        "left",
        "backstop_answers",
        "module_errors",
        "over_held",
        "over_behind",
        "over_lease",
        "attempts",
        "attempts_not_sent",
        "out_good",
        "out_bad",
        "out_full",
        "out_late",
        "out_noconn",
        "out_rst",
        "out_cxl",
        "out_nop",
        "notes_in",
        "hurries",
        "engine_dials",
        "engine_dial_failures",
        "engine_losses",
        "engine_lost_unwritten",
        "engine_cuts",
        "engine_extras",
        "engine_spoilt",
        "engine_frames",
        "engine_bad_frames",
        "engine_strays",
        "over_engine_links",
        "pages_in",
        "silent_connections",
        "dns_sent",
        "dns_in",
        "dns_same",
        "dns_bad",
        "dns_old",
        "dns_sockets",
        "lists_told",
        "lists_empty",
        "reloads",
        "reloads_bad",
        "timings_reloads",
        "timings_reloads_bad",
        "operator_reloads_bad",
        "retries_not_on",
        "retries_over_terms",
        "retries_over_budget",
        "copies",
        "copies_over_share",
        "state_commits",
        "state_failures",
        "state_dropped",
        "state_unread",
        "tds_connections",
        "tds_refused",
        "tds_logins",
        "tds_bad_logins",
        "tds_requests",
        "tds_attentions",
        "tds_bad",
        "tds_unsupported",
        "refused_ending",
        "ops_calls",
        "ops_bad",
        "ops_refused",
        "ops_state_bad",
        "ops_state_unwritten",
    )

    def __init__(self) -> None:
        super().__init__(dict.fromkeys(self.NAMES, 0))

    def add(self, name: str, count: int = 1) -> None:
        """Add to a counter; `KeyError` for a name that is not in `NAMES`."""
        self[name] = self[name] + count

    def line(self) -> str:
        """All counters above zero as `name=count` with spaces between them, or `nothing`."""
        return " ".join(f"{name}={count}" for name, count in self.items() if count) or "nothing"
