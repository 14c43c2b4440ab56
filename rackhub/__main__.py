"""Entry point of `python -m rackhub`."""

import os
import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        # Before the daemon installs its handlers (`Daemon.run`), SIGHUP and SIGUSR1 would end the process, and the
        # imports take long on a slow core: block them until then. Before that no request is accepted, so on SIGTERM
        # the process exits at once; a second SIGTERM has the same effect.
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGUSR1))
        signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    # Before anything heavy is imported: see rackhub/ops/process_replacement.py, imported only where a lock file is.
    if os.path.exists(os.path.join(os.environ.get("TMPDIR") or "/tmp", "rackhub-ops.lock")):
        from rackhub.ops import process_replacement

        if sys.argv[1:2] == ["serve"] and process_replacement.predecessor_is_running(os.environ):
            process_replacement.throttle_imports()
    from rackhub.cli import main

    sys.exit(main())
