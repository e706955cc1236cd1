"""One module for each verb of the command line."""

from __future__ import annotations
