"""Tests of the platform adapter against stand-ins."""
