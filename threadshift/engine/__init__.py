"""The front end without sockets: drives one Dispatcher, and hands its steps to ports."""
