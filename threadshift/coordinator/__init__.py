"""The platform's coordinator: server-sent events, the list of workers that they tell, and the stream."""
