"""`python -m rackhub`."""

import os
import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        # Until the daemon's handlers stand these would end the process, and the imports take long on a slow core: they
        # wait, and are delivered then (`Daemon.run`). Nothing is taken before that, so that told to end it ends at
        # once, and in no other way if it is told twice.
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGUSR1))
        signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    # Before anything heavy is imported: see rackhub/ops/process_replacement.py, imported only where a lock file is.
    if os.path.exists(os.path.join(os.environ.get("TMPDIR") or "/tmp", "rackhub-ops.lock")):
        from rackhub.ops import process_replacement

        if sys.argv[1:2] == ["serve"] and process_replacement.predecessor_is_running(os.environ):
            process_replacement.throttle_imports()
    from rackhub.cli import main

    sys.exit(main())
