"""HTTP clients and server, and ZeroMQ messages between daemons."""
