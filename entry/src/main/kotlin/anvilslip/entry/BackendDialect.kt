package anvilslip.entry

import anvilslip.control.AdapterLoader
import anvilslip.kernel.Finding
import anvilslip.policy.Announcement
import arrow.core.Either
import kotlin.time.Duration

/** How backend servers speak: everything that depends on the form of their announcements, requests, answers and orders. */
public interface BackendDialect : AdapterLoader {
    /** Reads an announcement, or all that is wrong with it. */
    public fun announcement(body: ByteArray): Either<List<Finding>, Announcement>

    /** Sends a request to the model engine at [address]. Throws [HttpClientException] or [BackendRejectedException]. */
    public suspend fun complete(
        address: String,
        call: EngineRequest,
        silence: Duration,
    ): CompletionStream

    /** Takes up an answer again after [offset] parts. Throws [HttpClientException] or [BackendRejectedException]. */
    public suspend fun resume(
        address: String,
        requestId: String,
        offset: Int,
        silence: Duration,
    ): CompletionStream

    /** Tells the model engine that nobody waits for the answer any more. */
    public suspend fun cancel(
        address: String,
        requestId: String,
    )
}
