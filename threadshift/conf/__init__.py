"""The line-based configuration: reading, checking, and what a reload may change."""
