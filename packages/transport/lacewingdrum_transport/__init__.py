"""Bytes and sockets: HTTP on both sides, ZeroMQ between daemons."""
