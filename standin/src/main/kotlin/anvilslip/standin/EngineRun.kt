package anvilslip.standin

/** One execution of a request on an [EngineModel]. */
public class EngineRun(
    public val adapter: String?,
    /** Parts of the prompt in order, as ID and token count. A cached part is not prefilled if all parts before it are cached. */
    public val parts: List<Pair<String, Int>>,
    /** Number of tokens to generate. */
    public val outputTokens: Int,
    /** Called when the first token is generated. */
    public val onFirstToken: () -> Unit,
    /** Called when the last token is generated. */
    public val onCompleted: () -> Unit,
    /** Runs of a more urgent priority are prefilled first; 0 is the most urgent. */
    public val priority: Int = 0,
) {
    /** Number of prompt tokens. */
    public val promptTokens: Int = parts.sumOf { it.second }

    /** KV memory, in tokens, that the run occupies when it is complete. */
    public val kvTokens: Int get() = promptTokens + outputTokens

    internal var tokensToPrefill = 0
    internal var generatedTokens = 0
}
