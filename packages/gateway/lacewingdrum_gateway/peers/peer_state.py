"""What a daemon knows of another one."""

import dataclasses

from lacewingdrum_state import ids


@dataclasses.dataclass(slots=True)
class Peer:
    """The known state of another daemon."""

    address: ids.VmId
    data_centre: ids.DataCentre = ids.DataCentre("")
    incarnation: int = 0
    last_seen_s: float = float("-inf")
    known_since_s: float = 0.0
    configuration_version: int = 0
    is_leaving: bool = False
    is_live: bool = False
    # Ids and incarnations of runners that leave by what the peer knows.
    leaving_runners: tuple[tuple[str, int], ...] = ()
    # What the peer knows, by topic of news; see ``news_spread``.
    digests: dict[str, int] = dataclasses.field(default_factory=dict)
    # Where the peer takes requests of daemons that reach no runner, or 0.
    relay_port: int = 0
    # Only a row of the store names it so far.
    is_candidate: bool = False
    # It is a candidate that did not answer when it was dialled before.
    is_doubtful: bool = False

    @property
    def is_heard(self) -> bool:
        """Whether there was contact since the address was added."""
        return self.last_seen_s > float("-inf")
