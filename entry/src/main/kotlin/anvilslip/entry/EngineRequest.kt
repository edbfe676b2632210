package anvilslip.entry

import anvilslip.policy.AdapterVersion
import kotlinx.serialization.json.JsonElement

/** A request as sent to a model engine. */
public data class EngineRequest(
    /** Unique over all instances; not the ID the caller chose, which another may choose too. */
    val requestId: String,
    val adapter: AdapterVersion,
    val inputName: String,
    val input: JsonElement,
    val maxTokens: Int,
    val parameters: Map<String, JsonElement>,
    /** When the first byte should be there, in milliseconds since the epoch; the earlier goes first. */
    val priority: Long,
)
