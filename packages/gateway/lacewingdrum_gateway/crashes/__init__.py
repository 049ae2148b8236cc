"""Evidence of what crashes runners."""
