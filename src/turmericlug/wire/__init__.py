"""Peer protocol between daemons: Cap'n Proto messages in length-prefixed frames."""
