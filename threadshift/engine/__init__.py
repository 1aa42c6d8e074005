"""Drives a dispatcher for the requests of one front end: sends, deadlines, answers."""
