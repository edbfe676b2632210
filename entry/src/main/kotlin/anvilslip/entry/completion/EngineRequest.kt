package anvilslip.entry.completion

import anvilslip.policy.AdapterVersion
import kotlinx.serialization.json.JsonElement

/** A completion request as sent to a model engine. */
public data class EngineRequest(
    /** Unique across all instances, unlike the request ID of the caller, which other callers may use too. */
    val requestId: String,
    val adapter: AdapterVersion,
    val inputName: String,
    val input: JsonElement,
    val maxTokens: Int,
    val parameters: Map<String, JsonElement>,
    /** Time at which the first byte is due, in milliseconds since the epoch; the engine runs the earliest first. */
    val priority: Long,
)
