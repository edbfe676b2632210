package anvilslip.entry.completion

import anvilslip.policy.AdapterVersion

/** A part of the response of a model engine. */
public data class CompletionPart(
    /** Adapter version that the engine reports to have used. */
    val adapter: AdapterVersion,
    /** Number of parts before this one. */
    val offset: Int,
    val text: String,
    /** True on the last part of a complete response, which has no text. */
    val done: Boolean = false,
    val tokens: Int = 0,
)
