"""Simulated disk of a member."""

import msgspec

from chivescale import agreement as ag


class Disk(msgspec.Struct):
    """Data of one member that survives a restart."""

    incarnation: str
    hard_state: ag.HardState = ag.HardState()
    snapshot: ag.Snapshot | None = None
    entries: list[ag.Entry] = msgspec.field(default_factory=list)

    def persist(self, hard_state, entries) -> None:
        """Store one record."""
        self.hard_state = hard_state or self.hard_state
        for entry in entries:
            self.entries = [e for e in self.entries if e.index < entry.index]
            self.entries.append(entry)

    def recovered(self) -> ag.Recovered:
        """Return the state that a member recovers at start."""
        return ag.Recovered(
            self.incarnation,
            self.hard_state,
            self.snapshot,
            tuple(self.entries),
        )

    def check_stored(self, message) -> None:
        """Check that the data a message acknowledges is stored."""
        term = message.header.term
        assert self.hard_state.term == term, (
            "sent in a term that is not stored"
        )
        if isinstance(message, ag.VoteReply) and not message.pre:
            candidate = message.header
            vote = f"{candidate.target}/{candidate.target_incarnation}"
            stored = self.hard_state.vote == vote
            assert stored or not message.granted, "vote is not stored"
        if isinstance(message, ag.AppendReply) and message.ok:
            last = self.snapshot.index if self.snapshot else 0
            last = self.entries[-1].index if self.entries else last
            assert last >= message.match_index, "entry is not stored"

    def configurations(self) -> list[ag.Configuration]:
        """Return all configurations on the disk, committed or not."""
        found = [self.snapshot.configuration] if self.snapshot else []
        decode = msgspec.msgpack.decode
        found += [
            decode(entry.data, type=ag.Configuration)
            for entry in self.entries
            if entry.kind == "configuration"
        ]
        return found
