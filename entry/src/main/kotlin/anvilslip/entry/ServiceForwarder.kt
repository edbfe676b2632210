package anvilslip.entry

import anvilslip.control.ControlService
import anvilslip.entry.caller.CallerRequest
import anvilslip.entry.completion.AdmittedRequest
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.Ran
import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.Service
import anvilslip.kernel.Timeline
import anvilslip.policy.BackendKind
import anvilslip.policy.BackendView
import anvilslip.settings.RequestSettings
import anvilslip.state.ClaimKey
import anvilslip.state.Command
import anvilslip.state.Outcome
import anvilslip.state.ProposeError
import anvilslip.state.Route
import anvilslip.state.StoredAnswer
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Forwards requests to application servers. A request to a route that is not idempotent is executed at most once: its
 * idempotency key is claimed in the replicated state before its first byte is sent, it is sent once on a new connection, and its
 * response is stored and replayed when the client retries.
 */
public class ServiceForwarder(
    private val incarnation: String,
    private val control: ControlService,
    private val client: HttpClient,
    private val authenticator: Authenticator,
    private val timeline: Timeline,
    private val clock: Clock,
    private val settings: RequestSettings,
    private val zone: String,
) : Service {
    override val name: String = NAME
    private val backgroundScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val inFlight = ConcurrentHashMap<String, AtomicInteger>()
    private val holderCounter = AtomicLong()

    private class Failure(
        val error: ApiError,
    )

    /** Forwards [call] along [route] on behalf of [admitted] and returns the response or the error. */
    public suspend fun run(
        admitted: AdmittedRequest,
        route: Route,
        call: CallerRequest.Service,
        idempotencyKey: String?,
    ): Either<ApiError, HttpResponse> =
        when {
            route.idempotent -> {
                forwardIdempotent(admitted, route, call)
            }

            idempotencyKey == null -> {
                ApiError(ErrorCode.IDEMPOTENCY_KEY_REQUIRED, "this call may run only once; name it with an Idempotency-Key header").left()
            }

            else -> {
                forwardOnce(admitted, route, call, idempotencyKey)
            }
        }

    private suspend fun forwardIdempotent(
        admitted: AdmittedRequest,
        route: Route,
        call: CallerRequest.Service,
    ): Either<ApiError, HttpResponse> {
        val failedServers = LinkedHashSet<String>()
        var error = noBackendError(route)
        while (failedServers.size < MAX_ATTEMPTS) {
            val server = chooseServer(route, failedServers) ?: return error.left()
            val response = sendToServer(admitted, server, call, atMostOnce = false)
            val failure = response.leftOrNull() ?: return response.mapLeft { it.error }
            error = failure.error
            failedServers += server.server
        }
        return error.left()
    }

    private suspend fun forwardOnce(
        admitted: AdmittedRequest,
        route: Route,
        call: CallerRequest.Service,
        idempotencyKey: String,
    ): Either<ApiError, HttpResponse> {
        val key = ClaimKey(admitted.workspace, idempotencyKey)
        val holder = "$incarnation/${holderCounter.incrementAndGet()}"
        val digest = sha256("${call.method}\n${call.path}\n${call.query}\n".toByteArray() + call.body)
        val claimedAt = clock.elapsed()
        val claim = Command.TakeClaim(key, digest, holder, settings.requestTimeout.inWholeMilliseconds)
        return control.propose(claim).fold({ claimError(it, key, holder).left() }) { outcome ->
            when (outcome) {
                Outcome.ClaimTaken -> executeClaimed(admitted, route, call, key, holder, claimedAt)
                else -> existingClaimResult(admitted, outcome)
            }
        }
    }

    /** The request is not sent, whether or not the claim was recorded; the claim is released so that a retry can execute. */
    private suspend fun claimError(
        error: ProposeError,
        key: ClaimKey,
        holder: String,
    ): ApiError {
        if (error is ProposeError.Unknown) control.propose(Command.ReleaseClaim(key, holder), RELEASE_TIMEOUT)
        return ApiError(ErrorCode.LEADER_UNREACHABLE, "the request could not be claimed", retryAfter = LEADER_RETRY)
    }

    private fun existingClaimResult(
        admitted: AdmittedRequest,
        outcome: Outcome,
    ): Either<ApiError, HttpResponse> {
        timeline.record(EventKind.CLAIM_REPEATED, admitted.requestId, cause = outcome::class.simpleName)
        return when (outcome) {
            is Outcome.ClaimAnswered -> {
                storedResponse(outcome.answer)
            }

            is Outcome.ClaimRunning -> {
                ApiError(ErrorCode.REQUEST_IN_PROGRESS, "the request is running", Ran.OUTCOME_UNKNOWN, RUNNING_RETRY).left()
            }

            Outcome.ClaimUnknown -> {
                ApiError(ErrorCode.OUTCOME_UNKNOWN, "the request was sent and its outcome is not known", Ran.OUTCOME_UNKNOWN).left()
            }

            Outcome.ClaimMismatch -> {
                ApiError(ErrorCode.IDEMPOTENCY_KEY_REUSED, "the Idempotency-Key was used for another request").left()
            }

            else -> {
                ApiError(ErrorCode.INTERNAL, "unexpected outcome of a claim").left()
            }
        }
    }

    private fun storedResponse(response: StoredAnswer): Either<ApiError, HttpResponse> {
        val body = response.body
        if (body ==
            null
        ) {
            return ApiError(
                ErrorCode.ALREADY_ANSWERED,
                "the request has run; its answer was too large to keep",
                Ran.OUTCOME_UNKNOWN,
            ).left()
        }
        return HttpResponse(
            response.status,
            body.toByteArray(Charsets.ISO_8859_1),
            response.contentType,
            mapOf("Idempotent-Replay" to "true"),
        ).right()
    }

    /** Continues after the caller disconnects, so that the response is stored for a retry. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun executeClaimed(
        admitted: AdmittedRequest,
        route: Route,
        call: CallerRequest.Service,
        key: ClaimKey,
        holder: String,
        claimedAt: Duration,
    ): Either<ApiError, HttpResponse> {
        val execution =
            backgroundScope.async {
                timeline.record(EventKind.CLAIM_TAKEN, admitted.requestId)
                val result = sendClaimed(admitted, route, call, claimedAt)
                val error = result.leftOrNull()
                when {
                    error == null -> storeResponse(key, holder, result.getOrNull()!!)
                    error.ran == Ran.NOT_RUN -> control.propose(Command.ReleaseClaim(key, holder), RELEASE_TIMEOUT)
                }
                result
            }
        try {
            return execution.await()
        } catch (e: CancellationException) {
            // Nobody sends the response any more.
            execution.invokeOnCompletion {
                if (it == null) {
                    execution
                        .getCompleted()
                        .getOrNull()
                        ?.memory
                        ?.close()
                }
            }
            throw e
        }
    }

    private suspend fun sendClaimed(
        admitted: AdmittedRequest,
        route: Route,
        call: CallerRequest.Service,
        claimedAt: Duration,
    ): Either<ApiError, HttpResponse> {
        val failedServers = LinkedHashSet<String>()
        while (true) {
            val server = chooseServer(route, failedServers) ?: return noBackendError(route).left()
            val rejection = checkBeforeSending(admitted, claimedAt)
            if (rejection != null) return rejection.left()
            val response = sendToServer(admitted, server, call, atMostOnce = true)
            val error = response.leftOrNull()?.error ?: return response.mapLeft { it.error }
            if (error.ran != Ran.NOT_RUN) return error.left()
            failedServers += server.server
        }
    }

    /** A process that was suspended after claiming must not send, since the claim may have expired with an unknown outcome. */
    private fun checkBeforeSending(
        admitted: AdmittedRequest,
        claimedAt: Duration,
    ): ApiError? =
        when {
            clock.elapsed() - claimedAt > CLAIM_TTL -> ApiError(ErrorCode.OVERLOADED, "sending came too late", retryAfter = LEADER_RETRY)
            !control.isFresh -> authenticator.readinessError()
            !authenticator.isValid(admitted.key) -> ApiError(ErrorCode.UNKNOWN_KEY, "the key is unknown or withdrawn")
            else -> null
        }

    private suspend fun storeResponse(
        key: ClaimKey,
        holder: String,
        response: HttpResponse,
    ) {
        val body = if (response.size <= MAX_STORED_BYTES) response.body.toString(Charsets.ISO_8859_1) else null
        control.propose(Command.FinishClaim(key, holder, StoredAnswer(response.status, response.contentType, body)), FINISH_TIMEOUT)
    }

    private fun noBackendError(route: Route) =
        ApiError(ErrorCode.NO_BACKEND, "no server runs '${route.service}'", retryAfter = NO_BACKEND_RETRY)

    /** Chooses the server with the fewest calls in flight from this instance and prefers the own zone among equals. */
    private fun chooseServer(
        route: Route,
        failedServers: Set<String>,
    ): BackendView? =
        control.view.backends
            .filter { it.kind == BackendKind.APPLICATION && it.serves == route.service && !it.leaving && it.server !in failedServers }
            .minWithOrNull(compareBy({ inFlight[it.server]?.get() ?: 0 }, { it.zone != zone }))

    private suspend fun sendToServer(
        admitted: AdmittedRequest,
        server: BackendView,
        call: CallerRequest.Service,
        atMostOnce: Boolean,
    ): Either<Failure, HttpResponse> {
        val inFlightCalls = inFlight.computeIfAbsent(server.server) { AtomicInteger() }
        inFlightCalls.incrementAndGet()
        timeline.record(EventKind.REQUEST_SENT, admitted.requestId, fields = mapOf("server" to server.server))
        try {
            return client.open(server.address, call.toClientCall(admitted, atMostOnce), settings.backendSilence).use {
                val body = it.readAll(MAX_ANSWER_BYTES)
                HttpResponse(it.status, body.parts, it.contentType, memory = body.memory).right()
            }
        } catch (e: HttpClientException.NotSent) {
            return Failure(ApiError(ErrorCode.BACKEND_FAILED, "the server cannot be reached", Ran.NOT_RUN, NO_BACKEND_RETRY)).left()
        } catch (e: HttpClientException.IncompleteResponse) {
            timeline.record(EventKind.REQUEST_FAILED, admitted.requestId, cause = e.message, fields = mapOf("server" to server.server))
            return Failure(ApiError(ErrorCode.OUTCOME_UNKNOWN, "the answer broke off: ${e.message}", Ran.OUTCOME_UNKNOWN)).left()
        } finally {
            inFlightCalls.decrementAndGet()
        }
    }

    /** Builds the headers from an allow-list, so that API keys are not forwarded. */
    private fun CallerRequest.Service.toClientCall(
        admitted: AdmittedRequest,
        atMostOnce: Boolean,
    ): HttpClientRequest {
        val headers = LinkedHashMap<String, String>()
        contentType?.let { headers["Content-Type"] = it }
        headers["X-Request-Id"] = admitted.requestId
        if (admitted.workspace.isNotEmpty()) headers["X-Workspace"] = admitted.workspace
        val target = if (query.isEmpty()) path else "$path?$query"
        return HttpClientRequest(method, target, headers, body, freshConnection = atMostOnce)
    }

    public companion object {
        /** Service name. */
        public const val NAME: String = "service-calls"
        private const val MAX_ATTEMPTS = 3
        private const val MAX_STORED_BYTES = 64 * 1024
        private const val MAX_ANSWER_BYTES = 16 * 1024 * 1024
        private val LEADER_RETRY = 500.milliseconds
        private val RUNNING_RETRY = 1.seconds
        private val NO_BACKEND_RETRY = 1.seconds
        private val RELEASE_TIMEOUT = 2.seconds
        private val FINISH_TIMEOUT = 10.seconds
        private val CLAIM_TTL = 10.seconds
    }
}
