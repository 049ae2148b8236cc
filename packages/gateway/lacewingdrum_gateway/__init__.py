"""The daemon on the users' platform; forwards requests to runners."""
