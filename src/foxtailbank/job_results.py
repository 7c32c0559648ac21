"""Reads the results of batch jobs from the log, one line per item."""

import typing as t

from foxtailbank.job_state import JobState, JobStatus, ResultPart
from foxtailbank.ledger_service import LedgerService
from foxtailbank.manifest import NO_INPUT, Manifest, decode_manifest, manifest_of
from foxtailbank.payload import Payload, PayloadKind
from foxtailbank.results import ItemCancelled, merge_chunk
from foxtailbank.retired_job import RetiredJob


class JobResults:
    """Reader of job results.

    Parameters
    ----------
    service : LedgerService
        Gives access to the payloads.
    """

    def __init__(self, *, service: LedgerService) -> None:
        self._service = service

    async def lines(self, job: JobState | RetiredJob) -> t.AsyncIterator[bytes]:
        """Yield the results as JSON lines, one block of lines per chunk.

        Parameters
        ----------
        job : JobState or RetiredJob
            The job. If it is running, items that have not ended are left out.

        Raises
        ------
        LogUnavailable
            The log did not respond.
        """
        manifest = await self._manifest(job)
        cancelled = manifest.status is JobStatus.CANCELLED
        for index, chunk in enumerate(manifest.chunks):
            parts = [
                (part, await self._read_results(job.job_id, index, part))
                for part in chunk.results()
            ]
            inputs = b""
            if chunk.input_offset != NO_INPUT:
                payload = await self._read_payload(
                    job.job_id, index, chunk.input_offset, PayloadKind.INPUT
                )
                inputs = payload.body
            lines = merge_chunk(
                count=chunk.count,
                parts=parts,
                unknown=chunk.unknown_bitmap(),
                load_input=lambda inputs=inputs: inputs,  # type: ignore[misc]
                unfinished_error=ItemCancelled() if cancelled else None,
            )
            if lines:
                yield b"\n".join(lines) + b"\n"

    async def _manifest(self, job: JobState | RetiredJob) -> Manifest:
        if isinstance(job, JobState):
            return manifest_of(job)
        data = await self._service.payloads.read_raw(job.manifest_offset)
        return decode_manifest(data, job_id=job.job_id)

    async def _read_results(self, job_id: str, index: int, part: ResultPart) -> Payload:
        return await self._read_payload(
            job_id, index, part.payload_offset, PayloadKind.RESULTS
        )

    async def _read_payload(
        self, job_id: str, part: int, offset: int, kind: PayloadKind
    ) -> Payload:
        return await self._service.payloads.read(
            offset=offset, kind=kind, job_id=job_id, part=part
        )
