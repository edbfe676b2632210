package anvilslip.entry.completion

import anvilslip.entry.http.HttpClientException

/** A response of a model engine that is being received. */
public interface CompletionStream : AutoCloseable {
    /** Returns the next part, or null at the end of the response body. Throws [HttpClientException]. */
    public suspend fun next(): CompletionPart?
}
