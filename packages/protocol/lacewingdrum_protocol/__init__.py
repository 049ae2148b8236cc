"""Messages and codecs for callers, runners, operators, platform and peers."""
