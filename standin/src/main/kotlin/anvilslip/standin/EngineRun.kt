package anvilslip.standin

/** A request at an [EngineModel]. */
public class EngineRun(
    public val adapter: String?,
    /** Parts of the prompt in order, as ID and tokens; a part kept from before is not read again when all before it are kept too. */
    public val parts: List<Pair<String, Int>>,
    /** Tokens of the answer. */
    public val outputTokens: Int,
    /** Called as the first token is there. */
    public val onFirst: () -> Unit,
    /** Called as the last token is there. */
    public val onEnd: () -> Unit,
) {
    /** Tokens of the prompt. */
    public val promptTokens: Int = parts.sumOf { it.second }

    /** Memory that it takes at its end. */
    public val memory: Int get() = promptTokens + outputTokens

    internal var unread = 0
    internal var made = 0
}
