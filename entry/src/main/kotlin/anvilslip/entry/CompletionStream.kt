package anvilslip.entry

/** An answer of a model engine that is being received. */
public interface CompletionStream : AutoCloseable {
    /** The next part, or null at the end of the connection's answer. Throws [HttpClientException]. */
    public suspend fun next(): CompletionPart?
}
