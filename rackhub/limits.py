"""Sizes, counts and times that bound the process, in one type that is filled at the start."""

import msgspec

MS, SECOND = 1_000, 1_000_000


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits with their defaults, some of which the site's settings replace (see `rackhub.config`).

    Times are microseconds; sizes are bytes.
    """

    file_descriptors: int = 1_024  # limit for all processes together
    memory_mb: int = 192

    # clients
    max_request_bytes: int = 65_536  # a JSON-RPC request with its statement in base64
    max_requests_per_client: int = 32  # open requests on one client connection
    deadline_grace: int = 10 * MS  # time after the deadline before the core answers in place of the routing policy
    deadline_check_interval: int = 15 * MS
    # time between an answer and the client's deadline: covers the network and one event-loop iteration
    deadline_margin: int = 60 * MS
    max_event_loop_delay: int = 50 * MS  # new requests are rejected above this delay of the event loop
    # time between cancelling an attempt and completing it, so that a retry does not overtake the cancellation
    cancellation_delay: int = 10 * MS
    max_input_steps: int = (
        64  # steps of the work on clients' messages in one event-loop iteration, see `input_scheduler`
    )
    max_open_requests: int = 1_000  # open requests of all clients
    max_statement_bytes: int = 16_777_216  # statements of all open requests together
    max_client_buffer_bytes: int = 44_040_192  # unhandled input and unsent output of all client connections of a front
    garbage_collection_interval: int = 5 * SECOND
    max_client_connections: int = 400
    client_check_interval: int = 250 * MS  # interval between two checks of the client timeouts below
    first_message_timeout: int = 1_750 * MS  # time from the connection to the first byte of a message
    message_timeout: int = 1_750 * MS  # time from the first byte of a message to its last byte
    client_idle_timeout: int = 5 * SECOND  # time without an open request
    crowded_idle_timeout: int = 1 * SECOND  # idle timeout while more than half of the connections are in use
    write_timeout: int = 5 * SECOND  # time in which a client has to drain its full send buffer
    accept_retry_interval: int = 20 * MS  # while new connections wait for room
    max_aborted_connections: int = 16  # aborted connections whose descriptors are not free yet
    faults_before_pause: int = 2  # malformed messages on one connection before each further one pauses reading
    fault_pause: int = 100 * MS
    max_fault_pause: int = 1 * SECOND
    max_recent_ids: int = 2_048  # remembered ids of completed requests; a new request with one of them is rejected
    # time in which a peer has to receive the last bytes of a half-closed connection and close its side
    linger_timeout: int = 2 * SECOND
    max_discarded_bytes: int = 1_048_576  # bytes read and discarded after a connection is half-closed
    # above this delay of the event loop, attempts wait until all sockets are read: their clients may have disconnected
    late_iteration_delay: int = 30 * MS
    socket_read_bytes: int = 65_536  # largest number of bytes that one read of a socket returns

    # engines
    dial_timeout: int = 250 * MS
    engine_idle_timeout: int = 30 * SECOND
    max_attempts_per_connection: int = 100  # concurrent attempts on one RESP connection
    max_connections_per_engine: int = 8  # RESP connections
    max_engine_connections: int = 400  # connections to all engines together
    max_resp_header_bytes: int = 64  # line with the length of a RESP array or string
    max_resp_string_bytes: int = 16_384  # bulk string from an engine
    max_page_bytes: int = 6_000  # size of one page of a result
    max_result_size: int = 48_000  # all pages of a result; bytes in RESP, characters of the rows in TDS
    max_result_pages: int = 64
    # an attempt moves to another engine after its socket has not been writable for this time
    unwritable_timeout: int = 250 * MS
    # time in which the kernel of a removed engine has to acknowledge the bytes sent to it
    retired_send_timeout: int = 100 * MS
    frame_timeout: int = 400 * MS  # time from the first byte of a frame to its last byte
    # connections to one engine before one of them carries more than `attempts_before_spread`
    max_spread_connections: int = 4
    attempts_before_spread: int = 3
    # after this time with attempts in flight and no byte received, new attempts use a new connection
    unresponsive_timeout: int = 1_500 * MS
    failed_id_retention: int = 30 * SECOND  # time before a cancelled id may be reused on its connection
    max_failed_ids: int = 4_096  # such ids of all connections; more than `max_recent_ids`, as those can't be reused

    # TDS
    max_tds_connections: int = 100  # client connections
    tds_login_timeout: int = 10 * SECOND  # time from the connection to the completed login
    tds_message_timeout: int = 10 * SECOND  # time from the first byte of a message to its last byte
    tds_idle_timeout: int = 600 * SECOND  # long, because drivers pool their connections
    tds_write_timeout: int = 60 * SECOND  # long, because a person may read the rows
    max_tds_message_bytes: int = 262_144
    max_unsent_response_bytes: int = 65_536  # responses that a TDS client has not read, without rows of results
    max_tds_token_bytes: int = 65_536  # size of one token of an engine's response
    max_tds_connections_per_engine: int = 32  # a TDS connection carries one attempt
    tds_engine_login_timeout: int = 500 * MS  # time from the connection to an engine to the completed login

    # resolver
    poll_interval: int = 250 * MS  # longer where many coordinators are configured, see `rackhub.config`
    poll_retry_interval: int = 60 * MS  # delay after the first failed poll; doubled after each further one
    max_poll_retry_interval: int = 500 * MS
    poll_jitter: float = 0.2  # fraction of each interval
    max_fleet_polls_per_s: int = 160  # polls per second of all coordinators together
    max_dns_response_bytes: int = 32_768
    max_pending_polls: int = 16  # polls whose answers are still accepted
    failed_polls_before_new_socket: int = 3  # consecutive failed polls before the next one uses a new socket
    max_resolver_sockets: int = 4  # sockets kept open for late answers
    # time from an event to its notification by the protocol while the resolver responds
    notification_time: int = 1_500 * MS
    max_notification_time: int = 7 * SECOND  # the same while the resolver does not respond
    poll_answer_timeout: int = 800 * MS  # time without an answer after which the resolver counts as unresponsive
    lease_margin: int = 100 * MS  # the endpoint list's lease ends this much early: an attempt takes time to arrive

    # the operators' port
    max_ops_connections: int = 32  # open connections; further ones are rejected
    max_ops_request_bytes: int = 512
    ops_request_timeout: int = 800 * MS  # time in which a caller has to send its complete request
    # time in which a caller has to receive the answer before its connection is aborted
    ops_linger_timeout: int = 1 * SECOND
    handover_check_interval: int = 100 * MS  # time between two reads of the handover file

    # graceful shutdown
    drain_connections_delay: int = 650 * MS  # time after SIGTERM in which open connections may send requests
    max_deadline_before_sigkill: int = 3 * SECOND  # longest deadline that the time from SIGTERM to SIGKILL allows for
    close_listeners_delay: int = 900 * MS  # time after SIGTERM in which new connections are accepted
