package anvilslip.entry.completion

import anvilslip.control.AdapterLoader
import anvilslip.entry.http.HttpClientException
import anvilslip.kernel.Finding
import anvilslip.policy.Announcement
import arrow.core.Either
import kotlin.time.Duration

/** Wire format of backend servers: decodes announcements and responses, and encodes requests and load orders. */
public interface BackendDialect : AdapterLoader {
    /** Decodes and validates an announcement; returns all findings if it is invalid. */
    public fun parseAnnouncement(body: ByteArray): Either<List<Finding>, Announcement>

    /** Sends a request to the model engine at [address]. Throws [HttpClientException] or [BackendRejectedException]. */
    public suspend fun complete(
        address: String,
        call: EngineRequest,
        readTimeout: Duration,
    ): CompletionStream

    /** Resumes a response after its first [offset] parts. Throws [HttpClientException] or [BackendRejectedException]. */
    public suspend fun resume(
        address: String,
        requestId: String,
        offset: Int,
        readTimeout: Duration,
    ): CompletionStream

    /** Cancels the request on the model engine because its response is no longer needed. */
    public suspend fun cancel(
        address: String,
        requestId: String,
    )
}
