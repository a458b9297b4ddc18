"""Starts the gateway on the users' platform.

The gateway's modules take some hundred milliseconds to import. A SIGHUP that
arrives meanwhile would end the process, since nothing handles it yet, so it is
ignored until the gateway installs its handler.

See Also:
    ``sardinewharf.platform.program``, which runs the gateway.
"""

import signal


def main() -> None:
    """Ignores SIGHUP, then imports the gateway and runs it."""
    # Everything else is imported after this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from sardinewharf.platform import program

    program.main()


if __name__ == "__main__":
    main()
