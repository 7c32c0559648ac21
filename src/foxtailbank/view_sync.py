"""Synchronises zone views that differ between VMs."""

from foxtailbank import gossip, heartbeat_writer, member_table
from foxtailbank import membership_actions as actions
from foxtailbank import peer_messages as pm

VIEW_PART_BYTES = 700


class ViewSync:
    """Compares digests and requests differing views part by part.

    Parameters
    ----------
    table : MemberTable
        Known VMs.
    writer : HeartbeatWriter
        Builds the datagrams.
    interval_ms : int
        Minimum time between two requests for the same zone.
    """

    def __init__(
        self,
        *,
        table: member_table.MemberTable,
        writer: heartbeat_writer.HeartbeatWriter,
        interval_ms: int,
    ) -> None:
        self._table = table
        self._writer = writer
        self._interval_ms = interval_ms
        self._requested_at_by_zone: dict[str, int] = {}

    def request_differing_view(
        self, heartbeat: pm.Heartbeat, *, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        """Request the view of the first zone whose digest differs from the sender's."""
        for digest in heartbeat.digests:
            view = self._table.view_by_zone.get(digest.zone)
            if view is not None and view.view_hash == digest.view_hash:
                continue
            requested_ms = self._requested_at_by_zone.get(digest.zone)
            if requested_ms is not None and now_ms - requested_ms < self._interval_ms:
                continue
            self._requested_at_by_zone[digest.zone] = now_ms
            return self._request_part(heartbeat.sender, digest.zone, "", now_ms)
        return ()

    def answer_request(
        self, request: pm.Heartbeat, *, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        """Return the requested part of a view."""
        view = self._table.view_by_zone.get(request.view_zone)
        if view is None:
            return ()
        records, through_id = view.read_part(
            after_id=request.after_id,
            limit_bytes=VIEW_PART_BYTES,
            size_of=gossip.member_bytes,
        )
        return self._writer.write(
            request.sender,
            pm.HeartbeatKind.VIEW_PART,
            now_ms=now_ms,
            is_urgent=True,
            updates=records,
            view_zone=request.view_zone,
            after_id=request.after_id,
            through_id=through_id,
        )

    def request_next_part(
        self, part: pm.Heartbeat, *, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        """Request the part that follows a received one, if any."""
        if not part.through_id:
            return ()
        return self._request_part(part.sender, part.view_zone, part.through_id, now_ms)

    def _request_part(
        self, to: pm.MemberRecord, zone: str, after_id: str, now_ms: int
    ) -> tuple[actions.MembershipAction, ...]:
        return self._writer.write(
            to,
            pm.HeartbeatKind.VIEW_REQUEST,
            now_ms=now_ms,
            view_zone=zone,
            after_id=after_id,
        )
