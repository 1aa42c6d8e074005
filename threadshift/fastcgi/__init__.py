"""The server side of FastCGI 1.0: records, requests, connections and their eviction."""
