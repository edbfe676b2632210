package anvilslip.entry.caller

import anvilslip.entry.completion.CompletionSink
import anvilslip.entry.http.ApiError

/** A [CompletionSink] that can also report an error to the caller. */
internal interface ResponseSink : CompletionSink {
    suspend fun onError(error: ApiError)
}
