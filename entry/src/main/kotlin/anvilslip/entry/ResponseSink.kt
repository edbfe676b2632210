package anvilslip.entry

/** A sink that can also tell the caller that the answer failed. */
internal interface ResponseSink : CompletionSink {
    suspend fun onError(error: ApiError)
}
