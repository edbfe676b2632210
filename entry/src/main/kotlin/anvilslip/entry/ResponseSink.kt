package anvilslip.entry

/** A [CompletionSink] that can also report an error to the caller. */
internal interface ResponseSink : CompletionSink {
    suspend fun onError(error: ApiError)
}
