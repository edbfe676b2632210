package anvilslip.entry

/** Takes the parts of an answer as they come. */
public interface CompletionSink {
    /** The answer has [text] next; [version] runs. */
    public suspend fun onPart(
        version: String,
        text: String,
    )

    /** The answer is whole. */
    public suspend fun onComplete(
        version: String,
        tokens: Int,
    )
}
