"""Wire names of the message types exchanged by entry VMs."""

from foxtailbank import peer_messages as pm
from foxtailbank import share_messages

KIND_BY_TYPE: dict[type[pm.PeerMessage], str] = {
    pm.Hello: "hello",
    pm.Ping: "ping",
    pm.Done: "done",
    pm.Unsupported: "unsupported",
    pm.Refused: "refused",
    pm.Heartbeat: "heartbeat",
    pm.CatalogueRecords: "catalogueRecords",
    pm.LedgerRecords: "ledgerRecords",
    pm.RecordsRequest: "recordsRequest",
    pm.SnapshotRequest: "snapshotRequest",
    pm.SnapshotPart: "snapshotPart",
    pm.OnlineDispatched: "onlineDispatched",
    pm.QuarantineMark: "quarantineMark",
    pm.DrainNotice: "drainNotice",
    share_messages.ShareRequest: "shareRequest",
    share_messages.ShareGrant: "shareGrant",
    pm.CancelNotice: "cancelNotice",
    pm.PayloadRequest: "payloadRequest",
    pm.Payload: "payload",
    pm.Report: "report",
    share_messages.ShareReturn: "shareReturn",
    share_messages.ShareEpochQuery: "shareEpochQuery",
    share_messages.ShareEpochApplied: "shareEpochApplied",
}
TYPE_BY_KIND = {kind: message_type for message_type, kind in KIND_BY_TYPE.items()}
