package anvilslip.entry

import anvilslip.control.ControlService
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
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Passes calls on to plain services. A call that is not idempotent runs at most once: it is claimed in the replicated state
 * before its first byte leaves, sent once on a fresh connection, and its answer kept for resends.
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
    private val background = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val inFlight = ConcurrentHashMap<String, AtomicInteger>()
    private val holders = AtomicLong()

    private class Failure(
        val error: ApiError,
    )

    /** Runs [call] on [route] for [scope] and returns its answer or why there is none. */
    public suspend fun run(
        scope: AdmittedRequest,
        route: Route,
        call: CallerRequest.Service,
        idempotencyKey: String?,
    ): Either<ApiError, HttpResponse> =
        when {
            route.idempotent -> {
                repeatable(scope, route, call)
            }

            idempotencyKey == null -> {
                ApiError(ErrorCode.IDEMPOTENCY_KEY_REQUIRED, "this call may run only once; name it with an Idempotency-Key header").left()
            }

            else -> {
                claimed(scope, route, call, idempotencyKey)
            }
        }

    private suspend fun repeatable(
        scope: AdmittedRequest,
        route: Route,
        call: CallerRequest.Service,
    ): Either<ApiError, HttpResponse> {
        val failed = LinkedHashSet<String>()
        var error = noBackend(route)
        while (failed.size < MAX_ATTEMPTS) {
            val server = choose(route, failed) ?: return error.left()
            val answer = send(scope, server, call, onceOnly = false)
            val failure = answer.leftOrNull() ?: return answer.mapLeft { it.error }
            error = failure.error
            failed += server.server
        }
        return error.left()
    }

    private suspend fun claimed(
        scope: AdmittedRequest,
        route: Route,
        call: CallerRequest.Service,
        idempotencyKey: String,
    ): Either<ApiError, HttpResponse> {
        val key = ClaimKey(scope.workspace, idempotencyKey)
        val holder = "$incarnation/${holders.incrementAndGet()}"
        val digest = sha256("${call.method}\n${call.path}\n${call.query}\n".toByteArray() + call.body)
        val askedAt = clock.elapsed()
        val take = Command.TakeClaim(key, digest, holder, settings.requestTimeout.inWholeMilliseconds)
        return control.propose(take).fold({ claimFailed(it, key, holder).left() }) { outcome ->
            when (outcome) {
                Outcome.ClaimTaken -> runClaimed(scope, route, call, key, holder, askedAt)
                else -> repeated(scope, outcome)
            }
        }
    }

    /** Whether the claim stands or not, this request is not sent; the claim is given up so that a resend may run. */
    private suspend fun claimFailed(
        error: ProposeError,
        key: ClaimKey,
        holder: String,
    ): ApiError {
        if (error is ProposeError.Unknown) control.propose(Command.ReleaseClaim(key, holder), RELEASE_TIMEOUT)
        return ApiError(ErrorCode.LEADER_UNREACHABLE, "the request could not be claimed", retryAfter = LEADER_RETRY)
    }

    private fun repeated(
        scope: AdmittedRequest,
        outcome: Outcome,
    ): Either<ApiError, HttpResponse> {
        timeline.record(EventKind.CLAIM_REPEATED, scope.requestId, cause = outcome::class.simpleName)
        return when (outcome) {
            is Outcome.ClaimAnswered -> {
                stored(outcome.answer)
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

    private fun stored(answer: StoredAnswer): Either<ApiError, HttpResponse> {
        val body = answer.body
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
            answer.status,
            body.toByteArray(Charsets.ISO_8859_1),
            answer.contentType,
            mapOf("Idempotent-Replay" to "true"),
        ).right()
    }

    /** Goes on when the caller leaves, so that the answer is there for a resend. */
    private suspend fun runClaimed(
        scope: AdmittedRequest,
        route: Route,
        call: CallerRequest.Service,
        key: ClaimKey,
        holder: String,
        askedAt: Duration,
    ): Either<ApiError, HttpResponse> =
        background
            .async {
                timeline.record(EventKind.CLAIM_TAKEN, scope.requestId)
                val result = sendClaimed(scope, route, call, askedAt)
                val error = result.leftOrNull()
                when {
                    error == null -> finish(key, holder, result.getOrNull()!!)
                    error.ran == Ran.NOT_RUN -> control.propose(Command.ReleaseClaim(key, holder), RELEASE_TIMEOUT)
                }
                result
            }.await()

    private suspend fun sendClaimed(
        scope: AdmittedRequest,
        route: Route,
        call: CallerRequest.Service,
        askedAt: Duration,
    ): Either<ApiError, HttpResponse> {
        val failed = LinkedHashSet<String>()
        while (true) {
            val server = choose(route, failed) ?: return noBackend(route).left()
            val stop = checkBeforeSending(scope, askedAt)
            if (stop != null) return stop.left()
            val answer = send(scope, server, call, onceOnly = true)
            val error = answer.leftOrNull()?.error ?: return answer.mapLeft { it.error }
            if (error.ran != Ran.NOT_RUN) return error.left()
            failed += server.server
        }
    }

    /** A process that was frozen after its claim must not send when the claim may have been given up as unknown. */
    private fun checkBeforeSending(
        scope: AdmittedRequest,
        askedAt: Duration,
    ): ApiError? =
        when {
            clock.elapsed() - askedAt > CLAIM_TO_SEND -> ApiError(ErrorCode.OVERLOADED, "sending came too late", retryAfter = LEADER_RETRY)
            !control.isFresh -> authenticator.ready()
            !authenticator.stillValid(scope.key) -> ApiError(ErrorCode.UNKNOWN_KEY, "the key is unknown or withdrawn")
            else -> null
        }

    private suspend fun finish(
        key: ClaimKey,
        holder: String,
        answer: HttpResponse,
    ) {
        val body = answer.body.takeIf { it.size <= MAX_STORED_BYTES }?.toString(Charsets.ISO_8859_1)
        control.propose(Command.FinishClaim(key, holder, StoredAnswer(answer.status, answer.contentType, body)), FINISH_TIMEOUT)
    }

    private fun noBackend(route: Route) = ApiError(ErrorCode.NO_BACKEND, "no server runs '${route.service}'", retryAfter = NO_BACKEND_RETRY)

    /** The server with the fewest calls from here, those of the own zone first. */
    private fun choose(
        route: Route,
        failed: Set<String>,
    ): BackendView? =
        control.view.backends
            .filter { it.kind == BackendKind.APPLICATION && it.serves == route.service && !it.leaving && it.server !in failed }
            .minWithOrNull(compareBy({ inFlight[it.server]?.get() ?: 0 }, { it.zone != zone }))

    private suspend fun send(
        scope: AdmittedRequest,
        server: BackendView,
        call: CallerRequest.Service,
        onceOnly: Boolean,
    ): Either<Failure, HttpResponse> {
        val count = inFlight.computeIfAbsent(server.server) { AtomicInteger() }
        count.incrementAndGet()
        timeline.record(EventKind.REQUEST_SENT, scope.requestId, fields = mapOf("server" to server.server))
        try {
            val answer = client.exchange(server.address, call.toClientCall(scope, onceOnly), settings.backendSilence)
            return HttpResponse(answer.status, answer.body, answer.contentType).right()
        } catch (e: HttpClientException.NotSent) {
            return Failure(ApiError(ErrorCode.BACKEND_FAILED, "the server cannot be reached", Ran.NOT_RUN, NO_BACKEND_RETRY)).left()
        } catch (e: HttpClientException.IncompleteResponse) {
            timeline.record(EventKind.REQUEST_FAILED, scope.requestId, cause = e.message, fields = mapOf("server" to server.server))
            return Failure(ApiError(ErrorCode.OUTCOME_UNKNOWN, "the answer broke off: ${e.message}", Ran.OUTCOME_UNKNOWN)).left()
        } finally {
            count.decrementAndGet()
        }
    }

    /** Headers are built from an allow-list, so that no key is passed on. */
    private fun CallerRequest.Service.toClientCall(
        scope: AdmittedRequest,
        onceOnly: Boolean,
    ): HttpClientRequest {
        val headers = LinkedHashMap<String, String>()
        contentType?.let { headers["Content-Type"] = it }
        headers["X-Request-Id"] = scope.requestId
        if (scope.workspace.isNotEmpty()) headers["X-Workspace"] = scope.workspace
        val target = if (query.isEmpty()) path else "$path?$query"
        return HttpClientRequest(method, target, headers, body, freshConnection = onceOnly)
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "service-calls"
        private const val MAX_ATTEMPTS = 3
        private const val MAX_STORED_BYTES = 64 * 1024
        private val LEADER_RETRY = 500.milliseconds
        private val RUNNING_RETRY = 1.seconds
        private val NO_BACKEND_RETRY = 1.seconds
        private val RELEASE_TIMEOUT = 2.seconds
        private val FINISH_TIMEOUT = 10.seconds
        private val CLAIM_TO_SEND = 10.seconds
    }
}
