"""Run the command line as ``python -m amaranthring``."""

from amaranthring import cli

if __name__ == "__main__":
    cli.main()
