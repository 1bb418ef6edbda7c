"""Command line interface, run with ``python -m mulberryswitch``."""

from mulberryswitch.cli import main

if __name__ == "__main__":
    main()
