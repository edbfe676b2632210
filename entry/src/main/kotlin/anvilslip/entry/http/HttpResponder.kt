package anvilslip.entry.http

/** Sends the response to one request, either complete or streamed in parts. */
public interface HttpResponder {
    /** Sends a complete response, and closes its memory once the body was written. */
    public suspend fun respond(response: HttpResponse)

    /** Sends the status line and headers of a streamed response. */
    public suspend fun startStream(
        status: Int,
        contentType: String,
        headers: Map<String, String> = emptyMap(),
    )

    /** Sends a part of a streamed response and closes [memory] once it was written; suspends while the client reads too slowly. */
    public suspend fun sendPart(
        bytes: ByteArray,
        memory: HeldMemory? = null,
    )

    /** Completes a streamed response. */
    public suspend fun endStream()

    /** Closes the connection during a streamed response, so that the client detects that it is incomplete. */
    public fun abort()
}
