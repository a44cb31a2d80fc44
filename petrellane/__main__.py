"""Run the command line."""

from petrellane.cli import app

if __name__ == "__main__":
    app(prog_name="petrellane")
