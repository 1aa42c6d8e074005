"""Workers that speak binary frames: the codec, the connections to one worker, and which of them carries what."""
