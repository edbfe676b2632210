package anvilslip.entry.completion

import kotlinx.serialization.json.JsonElement

/** A completion request as received from the caller. */
public data class CompletionRequest(
    val adapter: String,
    /** Requested version, or null for the current one. */
    val version: String?,
    /** Name of the field that holds [input]: `prompt` or `messages`. */
    val inputName: String,
    val input: JsonElement,
    /** Estimated number of tokens of the input. */
    val inputTokens: Int,
    val maxTokens: Int,
    val stream: Boolean,
    /** Sampling parameters, forwarded unchanged. */
    val parameters: Map<String, JsonElement> = emptyMap(),
)
