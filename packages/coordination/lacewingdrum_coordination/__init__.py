"""The decisions, with no I/O: data and time go in, actions come out."""
