"""Every size, count and time that the process holds itself to, in one type that is filled at start."""

import msgspec

MS, SECOND = 1_000, 1_000_000


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Times are microseconds, sizes bytes. What a site configures replaces the default (see `config`)."""

    file_descriptors: int = 1_024  # file descriptors over all processes
    memory_mb: int = 192

    # clients
    max_request_bytes: int = 65_536  # one request with its statement in base64
    max_requests_per_client: int = 32  # on one client connection
    deadline_grace: int = 10 * MS  # after a deadline without a decision the core answers itself
    deadline_check_interval: int = 15 * MS
    deadline_margin: int = 60 * MS  # before a client's deadline: network and one event-loop iteration
    max_event_loop_delay: int = 50 * MS  # event-loop delay from which new requests are rejected
    # from cancelling an attempt to its completion: a retry must not overtake the cancellation
    cancellation_delay: int = 10 * MS
    max_open_requests: int = 1_000  # open requests of all clients
    max_statement_bytes: int = 16_777_216  # statements of all open requests together
    garbage_collection_interval: int = 5 * SECOND
    max_client_connections: int = 400
    client_check_interval: int = 250 * MS  # of the client timeouts below
    first_message_timeout: int = 1_750 * MS  # from connecting to the first byte of a message
    message_timeout: int = 1_750 * MS  # from the first byte of a message to its last
    client_idle_timeout: int = 5 * SECOND  # with no request open
    crowded_idle_timeout: int = 1 * SECOND  # the same where more than half of the connections are in use
    write_timeout: int = 5 * SECOND  # for a client to drain its full send buffer
    max_aborted_connections: int = 16  # aborted connections whose descriptors are not free yet
    faults_before_pause: int = 2  # malformed messages on one connection before reading is paused after each
    fault_pause: int = 100 * MS
    max_fault_pause: int = 1 * SECOND
    max_recent_ids: int = 2_048  # ids of the requests answered last, which are refused as duplicates
    # for a peer to receive the last bytes of a half-closed connection, and to close it too
    linger_timeout: int = 2 * SECOND
    max_discarded_bytes: int = 1_048_576  # bytes read and discarded after a connection is half-closed
    # event-loop delay from which attempts wait until sockets are read: clients may have gone
    late_iteration_delay: int = 30 * MS
    socket_read_bytes: int = 65_536  # of one socket read

    # engines
    dial_timeout: int = 250 * MS
    engine_idle_timeout: int = 30 * SECOND
    max_attempts_per_connection: int = 100  # attempts on one connection
    max_connections_per_engine: int = 8  # to one engine
    max_engine_connections: int = 400  # to all engines together
    max_resp_header_bytes: int = 64  # a RESP head line
    max_resp_string_bytes: int = 16_384  # one bulk string of an engine
    max_page_bytes: int = 6_000  # one page of a result
    max_result_size: int = 48_000  # all pages of a result together
    max_result_pages: int = 64
    unwritable_timeout: int = 250 * MS  # an attempt whose socket is not writable for so long goes to another engine
    retired_send_timeout: int = 100 * MS  # for bytes sent to a removed engine to be acknowledged by its kernel
    frame_timeout: int = 400 * MS  # from the first byte of a frame to its last
    # connections to one engine before one of them carries more than `attempts_before_spread`
    max_spread_connections: int = 4
    attempts_before_spread: int = 3
    # without a byte received while attempts are in flight: new attempts use a new connection
    unresponsive_timeout: int = 1_500 * MS
    failed_id_retention: int = 30 * SECOND  # before a cancelled id may be used again on the same connection

    # TDS
    max_tds_connections: int = 100
    tds_login_timeout: int = 10 * SECOND  # from connecting to a completed login
    tds_message_timeout: int = 10 * SECOND  # from the first byte of a message to its last
    tds_idle_timeout: int = 600 * SECOND  # drivers pool their connections
    tds_write_timeout: int = 60 * SECOND  # rows are read at the pace of a person
    max_tds_message_bytes: int = 262_144  # one request
    max_tds_token_bytes: int = 65_536  # one token of an engine's answer
    max_tds_connections_per_engine: int = 32  # to one engine: each carries one attempt at a time

    # resolver
    poll_interval: int = 250 * MS  # longer where many coordinators are configured, see `config`
    poll_retry_interval: int = 60 * MS  # after a failed poll; doubled after each further one,
    max_poll_retry_interval: int = 500 * MS  # up to this
    poll_jitter: float = 0.2  # as a fraction of each interval
    max_fleet_polls_per_s: int = 160  # polls per second of all coordinators together
    max_dns_response_bytes: int = 32_768  # one answer
    max_pending_polls: int = 16  # polls whose answers are still accepted
    failed_polls_before_new_socket: int = 3  # failed polls in a row before the next one uses a new socket
    max_resolver_sockets: int = 4  # kept open for late answers
    # from an event to its notification by the protocol, while the resolver answers,
    notification_time: int = 1_500 * MS
    max_notification_time: int = 7 * SECOND  # and while it does not
    poll_answer_timeout: int = 800 * MS  # for an answer after a pause, before the resolver counts as unresponsive
    lease_margin: int = 100 * MS  # by which the endpoint lease ends early: an attempt takes time to arrive

    # the operators' port
    max_ops_connections: int = 32  # open connections; further ones are rejected
    max_ops_request_bytes: int = 512  # one call
    ops_request_timeout: int = 800 * MS  # for a complete call
    ops_linger_timeout: int = 1 * SECOND  # for the caller to receive the answer before the connection is aborted
    handover_check_interval: int = 100 * MS  # interval between two reads of the handover file

    # graceful shutdown
    drain_connections_delay: int = 650 * MS  # for requests on open connections after SIGTERM
    max_deadline_before_sigkill: int = 3 * SECOND  # upper bound of the longest deadline in the time to SIGKILL
    close_listeners_delay: int = 900 * MS  # for new connections after SIGTERM
