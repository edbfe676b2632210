package anvilslip.kernel

import kotlinx.serialization.Serializable

/** An event on the [Timeline]. [fields] must not contain API keys or request bodies. */
@Serializable
public data class Event(
    val stamp: Stamp,
    val instance: String,
    val kind: EventKind,
    val requestId: String? = null,
    val cause: String? = null,
    val fields: Map<String, String> = emptyMap(),
)
