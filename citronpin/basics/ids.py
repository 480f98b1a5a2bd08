"""Types of identifiers, names of log streams, and generators of ids."""

from typing import NewType

import uuid_utils

AdapterName = NewType("AdapterName", str)
ApplicationName = NewType("ApplicationName", str)
CallKey = NewType("CallKey", str)
CustomerName = NewType("CustomerName", str)
DeploymentName = NewType("DeploymentName", str)
DomainName = NewType("DomainName", str)
EntryId = NewType("EntryId", str)
FailureDomainName = NewType("FailureDomainName", str)
Fence = NewType("Fence", int)
GroupId = NewType("GroupId", str)
InstanceId = NewType("InstanceId", str)
ModelName = NewType("ModelName", str)
Offset = NewType("Offset", int)
PromptPartId = NewType("PromptPartId", str)
RecordId = NewType("RecordId", str)
RegionName = NewType("RegionName", str)
RequestFingerprint = NewType("RequestFingerprint", str)
RequestId = NewType("RequestId", str)
ShardNumber = NewType("ShardNumber", int)
StreamName = NewType("StreamName", str)
Version = NewType("Version", str)
WriterId = NewType("WriterId", str)

NO_OFFSET = Offset(-1)
CONFIG_STREAM = StreamName("config")


def control_stream(domain: DomainName) -> StreamName:
    """Return the stream with the lease and the groups of a fabric domain."""
    return StreamName(f"control.{domain}")


def calls_stream(shard: ShardNumber) -> StreamName:
    """Return the stream with the call intents and outcomes of a shard."""
    return StreamName(f"calls.{shard}")


def checkpoint_stream(stream: StreamName) -> StreamName:
    """Return the stream with the checkpoints of ``stream``."""
    return StreamName(f"checkpoint.{stream}")


def new_id() -> str:
    """Return a new UUIDv7; its first 48 bits are the Unix time in milliseconds."""
    return str(uuid_utils.uuid7())


def new_writer_id() -> WriterId:
    """Return a short random id that tells runs of a process apart."""
    return WriterId(new_id()[19:].replace("-", ""))
