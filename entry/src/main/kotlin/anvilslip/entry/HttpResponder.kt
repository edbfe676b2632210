package anvilslip.entry

/** Sends the answer to one request: either whole, or a head followed by parts. */
public interface HttpResponder {
    /** Sends a whole answer. */
    public suspend fun respond(answer: HttpResponse)

    /** Sends the head of a streamed answer. */
    public suspend fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String> = emptyMap(),
    )

    /** Sends a part of a streamed answer, waiting while the caller reads too slowly. */
    public suspend fun sendPart(bytes: ByteArray)

    /** Ends a streamed answer. */
    public suspend fun endStream()

    /** Breaks off a streamed answer, so that the caller cannot take it for whole. */
    public fun abort()
}
