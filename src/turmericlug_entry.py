"""Program of an entry instance: ``src`` becomes the first folder on the path, not the package."""

from __future__ import annotations

from turmericlug.platform import start

if __name__ == "__main__":
    start.run()
