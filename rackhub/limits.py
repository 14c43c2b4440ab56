"""Every size, count and time that the process holds itself to, in one type that is filled at start."""

import msgspec

MS, SECOND = 1_000, 1_000_000


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Times are microseconds, sizes bytes. What a site configures replaces the default (see `config`)."""

    sockets: int = 1_024  # file descriptors over all processes
    memory_mb: int = 192

    # clients
    request_bytes: int = 65_536  # one request with its statement in base64
    open_requests: int = 32  # on one client connection
    deadline_grace: int = 10 * MS  # after a deadline without a decision the core answers itself
    deadline_check_interval: int = 15 * MS
    deadline_margin: int = 60 * MS  # before a client's deadline: network and one event-loop iteration
    max_event_loop_delay: int = 50 * MS  # event-loop delay from which new requests are rejected
    # from cancelling an attempt to its completion: a retry must not overtake the cancellation
    cancellation_delay: int = 10 * MS
    max_open_requests: int = 1_000  # open requests of all clients
    max_statement_bytes: int = 16_777_216  # statements of all open requests together
    garbage_collection_interval: int = 5 * SECOND
    client_connections: int = 400
    client_check_interval: int = 250 * MS  # of the client timeouts below
    first_message_timeout: int = 1_750 * MS  # from connecting to the first byte of a message
    message_timeout: int = 1_750 * MS  # from the first byte of a message to its last
    client_idle_timeout: int = 5 * SECOND  # with no request open
    crowded_idle_timeout: int = 1 * SECOND  # the same where more than half of the connections are in use
    write_timeout: int = 5 * SECOND  # for a client to drain its full send buffer
    max_aborted_connections: int = 16  # aborted connections whose descriptors are not free yet
    free_faults: int = 2  # malformed messages on one connection before reading is paused after each
    fault_pause: int = 100 * MS
    max_fault_pause: int = 1 * SECOND
    recent_ids: int = 2_048  # ids of the requests answered last, which are refused as duplicates
    # for a peer to receive the last bytes of a half-closed connection, and to close it too
    linger_timeout: int = 2 * SECOND
    max_discarded_bytes: int = 1_048_576  # bytes read and discarded after a connection is half-closed
    # event-loop delay from which attempts wait until sockets are read: clients may have gone
    late_iteration: int = 30 * MS
    read: int = 65_536  # of one socket read

    # engines
    dial_timeout: int = 250 * MS
    engine_idle: int = 30 * SECOND
    engine_open: int = 100  # attempts on one connection
    engine_connections: int = 8  # to one engine
    engine_links: int = 400  # to all engines together
    head: int = 64  # a RESP head line
    frame: int = 16_384  # one bulk string of an engine
    page: int = 6_000  # one page of a result
    result: int = 48_000  # all pages of a result together
    pages: int = 64
    unwritable_timeout: int = 250 * MS  # an attempt whose socket is not writable for so long goes to another engine
    retired_send_timeout: int = 100 * MS  # for bytes sent to a removed engine to be acknowledged by its kernel
    frame_timeout: int = 400 * MS  # from the first byte of a frame to its last
    # connections to one engine before one of them carries more than `attempts_before_spread`
    max_spread_connections: int = 4
    attempts_before_spread: int = 3
    # without a byte received while attempts are in flight: new attempts use a new connection
    silence_timeout: int = 1_500 * MS
    failed_id_retention: int = 30 * SECOND  # before a cancelled id may be used again on the same connection

    # TDS
    tds_connections: int = 100
    tds_login: int = 10 * SECOND  # from connecting to a completed login
    tds_half: int = 10 * SECOND  # from the first byte of a message to its last
    tds_idle: int = 600 * SECOND  # drivers pool their connections
    tds_unread: int = 60 * SECOND  # rows are read at the pace of a person
    tds_message: int = 262_144  # one request
    tds_token: int = 65_536  # one token of an engine's answer
    tds_engine_connections: int = 32  # to one engine: each carries one attempt at a time

    # resolver
    poll: int = 250 * MS  # longer where many coordinators are configured, see `config`
    poll_retry_interval: int = 60 * MS  # after a failed poll; doubled after each further one,
    max_poll_retry_interval: int = 500 * MS  # up to this
    poll_jitter: float = 0.2  # as a fraction of each interval
    fleet_polls: int = 160  # polls per second of all coordinators together
    packet: int = 32_768  # one answer
    polls_open: int = 16  # polls whose answers are still accepted
    polls_silent: int = 3  # failed polls in a row before the next one uses a new socket
    resolver_sockets: int = 4  # kept open for late answers
    # from an event to its notification by the protocol, while the resolver answers,
    notification_time: int = 1_500 * MS
    max_notification_time: int = 7 * SECOND  # and while it does not
    poll_answer_timeout: int = 800 * MS  # for an answer after a pause, before the resolver counts as unresponsive
    lease_margin: int = 100 * MS  # by which the endpoint lease ends early: an attempt takes time to arrive

    # the operators' port
    ops_connections: int = 32  # open connections; further ones are rejected
    ops_request_bytes: int = 512  # one call
    ops_answer: int = 800 * MS  # for a complete call
    ops_linger: int = 1 * SECOND  # for the caller to receive the answer before the connection is aborted
    ops_fresh: int = 100 * MS  # interval between two reads of the handover file

    # graceful shutdown
    read_after_term: int = 650 * MS  # for requests on open connections after SIGTERM
    kill_capped: int = 3 * SECOND  # upper bound of the longest deadline in the time to SIGKILL
    accept_after_term: int = 900 * MS  # for new connections after SIGTERM
