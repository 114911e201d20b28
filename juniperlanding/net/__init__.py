"""The dispatcher's I/O around the decision module: HTTP/1.1 on trio and h11, the ledger, and hand-over."""
