"""Names of the HTTP headers of the platform, in lower case."""

from citronpin.gateway.ports import HeaderNames

HEADERS = HeaderNames(
    attempt="x-citronpin-attempt-id",
    deadline_ms="x-citronpin-deadline-ms",
    key="x-citronpin-key",
    customer="x-citronpin-tenant",
    expect_instance="x-citronpin-expect-instance",
    instance_id="x-citronpin-instance-id",
    not_run="x-citronpin-not-executed",
    digest="x-citronpin-response-signature",
    model="x-citronpin-model",
    token_usage="x-citronpin-token-usage",
    prompt_parts="x-citronpin-prompt-prefix",
    urgency="x-citronpin-request-urgency",
    last_event="last-event-id",
    retry_after="retry-after",
    leaving="server-leaving",
    weight_versions="x-citronpin-weight-versions",
    request_limit="server-limit",
    cold_ms="x-citronpin-cold-ms",
    length_hint="x-citronpin-length-hint",
)
