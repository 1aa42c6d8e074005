"""The platform's clients: FastCGI 1.0 records, reading of a request, connections and who is kept on them."""
