package anvilslip.entry

/** Handles requests; cancelled when the caller leaves. */
public fun interface HttpHandler {
    /** Handles [call] and answers through [responder] exactly once. */
    public suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    )
}
