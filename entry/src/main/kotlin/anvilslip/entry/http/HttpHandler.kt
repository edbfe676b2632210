package anvilslip.entry.http

/** Handles HTTP requests. Cancelled when the client closes the connection. */
public fun interface HttpHandler {
    /** Handles [call] and sends exactly one response through [responder]. */
    public suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    )
}
