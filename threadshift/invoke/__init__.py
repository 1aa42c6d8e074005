"""The invoke API over HTTP/1.1: synchronous and deferred calls, and their answers."""
