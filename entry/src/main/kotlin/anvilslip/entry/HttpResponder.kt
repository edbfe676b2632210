package anvilslip.entry

/** Sends the answer to one request: either whole, or a head followed by parts. */
public interface HttpResponder {
    /** Sends a whole answer. */
    public suspend fun answer(answer: HttpResponse)

    /** Sends the head of a streamed answer. */
    public suspend fun begin(
        status: Int,
        contentType: String,
        headers: Map<String, String> = emptyMap(),
    )

    /** Sends a part of a streamed answer, waiting while the caller reads too slowly. */
    public suspend fun part(bytes: ByteArray)

    /** Ends a streamed answer. */
    public suspend fun end()

    /** Breaks off a streamed answer, so that the caller cannot take it for whole. */
    public fun abort()
}
