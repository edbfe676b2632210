package anvilslip.entry.completion

import anvilslip.control.ControlService
import anvilslip.control.TokenRefusal
import anvilslip.entry.Authenticator
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.Ran
import anvilslip.entry.sha256
import anvilslip.entry.tokenError
import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.Service
import anvilslip.kernel.Timeline
import anvilslip.policy.AdapterVersion
import anvilslip.policy.BackendView
import anvilslip.policy.PlacementDecision
import anvilslip.policy.RefusalReason
import anvilslip.policy.Reservation
import anvilslip.settings.RequestSettings
import anvilslip.state.Adapter
import anvilslip.state.Command
import anvilslip.state.InterruptedRequest
import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Executes completion requests on model engines: reserves tokens, places the request on a server, sends it, resumes interrupted
 * responses, retries on other servers, and quarantines requests that repeatedly crash servers.
 */
public class CompletionService(
    private val incarnation: String,
    private val control: ControlService,
    private val dialect: BackendDialect,
    private val authenticator: Authenticator,
    private val waits: WaitTracker,
    private val timeline: Timeline,
    private val clock: Clock,
    private val settings: RequestSettings,
) : Service {
    override val name: String = NAME
    private val backgroundScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val callCounter = AtomicLong()
    private val runningCalls = ConcurrentHashMap<String, RunningCall>()

    private class RunningCall(
        val server: BackendView,
        val interrupted: InterruptedRequest,
    )

    /** State of one request that is kept across its attempts. */
    private class Execution(
        val admitted: AdmittedRequest,
        val request: CompletionRequest,
        val adapter: Adapter,
        val version: AdapterVersion,
        val fingerprint: String,
    ) {
        val failedServers = LinkedHashSet<String>()
        var mayHaveRun = false
        var emittedParts = 0
        var crashes = 0
        var waitCause = "service"
    }

    private sealed interface Attempt {
        data object Completed : Attempt

        class Retry(
            val error: ApiError,
        ) : Attempt

        class Failed(
            val error: ApiError,
        ) : Attempt
    }

    /** Executes [request] and streams the response to [sink]; returns null on success and the error if the response is incomplete. */
    public suspend fun run(
        admitted: AdmittedRequest,
        request: CompletionRequest,
        sink: CompletionSink,
    ): ApiError? =
        bindVersion(admitted, request).fold({ it }) { execution ->
            val error = withReservation(execution) { reservation -> runAttempts(execution, reservation, sink) }
            if (error != null) recordFailure(execution, error)
            error
        }

    /** Binds [request] to one adapter version, which all its attempts use. */
    private fun bindVersion(
        admitted: AdmittedRequest,
        request: CompletionRequest,
    ): Either<ApiError, Execution> {
        val adapter = control.configuration.adapters[request.adapter]?.takeIf { it.workspace == null || it.workspace == admitted.workspace }
        if (adapter == null) return ApiError(ErrorCode.UNKNOWN_MODEL, "no adapter '${request.adapter}'").left()
        val version = request.version ?: adapter.current
        if (version !in
            adapter.versions
        ) {
            return ApiError(ErrorCode.UNKNOWN_VERSION, "adapter '${adapter.name}' has no version '$version'").left()
        }
        val fingerprint = sha256("${admitted.workspace}\n${adapter.name}\n$version\n${request.input}\n${request.maxTokens}".toByteArray())
        if (control.suspects[fingerprint]?.quarantined == true) return quarantined().left()
        return Execution(admitted, request, adapter, AdapterVersion(adapter.name, version), fingerprint).right()
    }

    private fun quarantined() =
        ApiError(ErrorCode.REQUEST_QUARANTINED, "servers crashed while they ran this request, so it is not run any more")

    private suspend fun withReservation(
        execution: Execution,
        action: suspend (Reservation) -> ApiError?,
    ): ApiError? = reserve(execution).fold({ it }, { action(it) })

    private suspend fun reserve(execution: Execution): Either<ApiError, Reservation> {
        val tokens = (execution.request.inputTokens + execution.request.maxTokens).toDouble()
        return control.reserve(execution.admitted.workspace, tokens).mapLeft(::tokenError)
    }

    private suspend fun runAttempts(
        execution: Execution,
        initialReservation: Reservation,
        sink: CompletionSink,
    ): ApiError? {
        var reservation: Reservation? = initialReservation
        try {
            while (true) {
                val server = place(execution).fold({ return it }, { it })
                try {
                    val rejection = checkBeforeSending(execution, server)
                    if (rejection != null) return rejection
                    val unspent = reservation
                    if (unspent != null) commit(execution, unspent)?.let { return it }
                    reservation = null
                    when (val outcome = send(execution, server, sink)) {
                        Attempt.Completed -> return null
                        is Attempt.Failed -> return outcome.error
                        is Attempt.Retry -> if (execution.failedServers.size >= MAX_ATTEMPTS) return outcome.error
                    }
                } finally {
                    control.useLeases.finishRequest(server.server, execution.version, clock.elapsed())
                }
            }
        } finally {
            reservation?.let { control.cancel(execution.admitted.workspace, it) }
        }
    }

    /** Repeats the admission checks: the key may have been withdrawn, or the placement lease may have expired, while the request waited. */
    private fun checkBeforeSending(
        execution: Execution,
        server: BackendView,
    ): ApiError? =
        when {
            !control.isFresh -> {
                authenticator.readinessError()
            }

            !authenticator.isValid(execution.admitted.key) -> {
                ApiError(ErrorCode.UNKNOWN_KEY, "the key is unknown or withdrawn")
            }

            control.suspects[execution.fingerprint]?.quarantined == true -> {
                quarantined()
            }

            !control.useLeases.holds(server.server, execution.version, clock.elapsed()) -> {
                ApiError(ErrorCode.OVERLOADED, "the placement came too late", retryAfter = LEADER_RETRY)
            }

            else -> {
                null
            }
        }

    /** Commits [reservation], or a new one for the same tokens if it expired during the wait. */
    private suspend fun commit(
        execution: Execution,
        reservation: Reservation,
    ): ApiError? {
        if (control.commit(execution.admitted.workspace, reservation)) return null
        return reserve(execution).fold({ it }) { renewed ->
            if (control.commit(execution.admitted.workspace, renewed)) null else tokenError(TokenRefusal.LeaderUnreachable)
        }
    }

    private suspend fun place(execution: Execution): Either<ApiError, BackendView> {
        val isSuspect = control.suspects[execution.fingerprint] != null || execution.crashes > 0
        val local = if (isSuspect) null else placeLocally(execution)
        val name = local?.right() ?: placeByLeader(execution, if (isSuspect) execution.fingerprint else null)
        return name.flatMap { server ->
            val view = serverView(server)
            if (view == null) control.useLeases.finishRequest(server, execution.version, clock.elapsed())
            view?.right() ?: ApiError(ErrorCode.NO_BACKEND, "the server chosen is gone", retryAfter = LEADER_RETRY).left()
        }
    }

    private suspend fun serverView(server: String): BackendView? {
        fun findServer() = control.view.backends.firstOrNull { it.server == server }
        if (findServer() == null) control.poll()
        return findServer()
    }

    /** Chooses a server that has the adapter loaded under a lease of this instance and a free batch slot; null if there is none. */
    private fun placeLocally(execution: Execution): String? {
        val servers = control.view.backends.associateBy { it.server }
        return control.useLeases.startRequest(execution.version, clock.elapsed()) { server, own ->
            val view = servers[server]?.takeIf { !it.leaving && it.server !in execution.failedServers }
            val inFlight = maxOf(own, control.fleetInFlight[server] ?: 0)
            view?.let { inFlight.toDouble() / it.batch }?.takeIf { it < 1.0 }
        }
    }

    private suspend fun placeByLeader(
        execution: Execution,
        suspect: String?,
    ): Either<ApiError, String> {
        val admitted = execution.admitted
        val wait = (admitted.waitDeadline - clock.elapsed()).coerceAtLeast(Duration.ZERO)
        val tokens = (execution.request.inputTokens + execution.request.maxTokens).toDouble()
        val decision =
            control.requestPlacement(
                admitted.workspace,
                execution.adapter.model,
                execution.version,
                wait,
                tokens,
                execution.failedServers,
                suspect,
            )
        return when (decision) {
            is PlacementDecision.Placed -> {
                if (decision.stalledMillis > 0) execution.waitCause = "load"
                decision.server.right()
            }

            is PlacementDecision.Refused -> {
                placementError(execution, decision).left()
            }
        }
    }

    private fun placementError(
        execution: Execution,
        decision: PlacementDecision.Refused,
    ): ApiError {
        val retryAfter = decision.retryAfterMillis.milliseconds
        val ran = if (execution.mayHaveRun) Ran.OUTCOME_UNKNOWN else Ran.NOT_RUN
        val cause = decision.reason.name.lowercase()
        return when (decision.reason) {
            RefusalReason.NO_SERVER -> {
                ApiError(
                    ErrorCode.NO_BACKEND,
                    "no server runs model '${execution.adapter.model}'",
                    ran,
                    retryAfter,
                    cause,
                )
            }

            RefusalReason.OVERLOADED -> {
                ApiError(ErrorCode.OVERLOADED, "the wait would be over the target", ran, retryAfter, cause)
            }

            RefusalReason.LOAD_TOO_SLOW -> {
                ApiError(ErrorCode.OVERLOADED, "the adapter cannot be loaded in time", ran, retryAfter, cause)
            }

            RefusalReason.LOAD_FAILED -> {
                ApiError(ErrorCode.OVERLOADED, "the adapter could not be loaded", ran, retryAfter, cause)
            }

            RefusalReason.STARTING -> {
                ApiError(ErrorCode.LEADER_UNREACHABLE, "no leader knows the servers yet", ran, retryAfter, cause)
            }
        }
    }

    private suspend fun send(
        execution: Execution,
        server: BackendView,
        sink: CompletionSink,
    ): Attempt {
        val callId = "$incarnation-${callCounter.incrementAndGet()}"
        val call = execution.toEngineRequest(callId)
        timeline.record(
            EventKind.REQUEST_SENT,
            execution.admitted.requestId,
            fields =
                mapOf(
                    "server" to server.server,
                    "adapter" to "${execution.version}",
                ),
        )
        val startedAt = clock.elapsed()
        runningCalls[callId] =
            RunningCall(server, InterruptedRequest(execution.fingerprint, execution.admitted.workspace, execution.version.toString()))
        var completed = false
        try {
            val outcome = receive(execution, server, callId, sink) { dialect.complete(server.address, call, settings.backendSilence) }
            completed = outcome == Attempt.Completed
            if (completed) control.observeServiceTime(clock.elapsed() - startedAt)
            return outcome
        } finally {
            runningCalls.remove(callId)
            if (!completed) backgroundScope.launch { dialect.cancel(server.address, callId) }
        }
    }

    private fun Execution.toEngineRequest(callId: String) =
        EngineRequest(
            requestId = callId,
            adapter = version,
            inputName = request.inputName,
            input = request.input,
            maxTokens = request.maxTokens,
            parameters = request.parameters,
            priority = (clock.now() + (admitted.waitDeadline - clock.elapsed())).toEpochMilliseconds(),
        )

    private suspend fun receive(
        execution: Execution,
        server: BackendView,
        callId: String,
        sink: CompletionSink,
        open: suspend () -> CompletionStream,
    ): Attempt {
        try {
            open().use { stream ->
                while (true) {
                    val part =
                        stream.next()
                            ?: return resume(
                                execution,
                                server,
                                callId,
                                sink,
                                HttpClientException.IncompleteResponse("the answer ends early", false),
                            )
                    execution.mayHaveRun = true
                    invalidPartError(execution, part)?.let { return Attempt.Failed(it) }
                    if (part.done) {
                        sink.onComplete(execution.version.version, part.tokens)
                        return Attempt.Completed
                    }
                    if (execution.emittedParts == 0) recordFirstPart(execution)
                    execution.emittedParts++
                    sink.onPart(execution.version.version, part.text)
                }
            }
        } catch (e: BackendRejectedException) {
            return handleRejection(execution, server, e)
        } catch (e: HttpClientException.NotSent) {
            execution.failedServers += server.server
            return Attempt.Retry(retryableError(execution, "the server cannot be reached: ${e.message}"))
        } catch (e: HttpClientException.IncompleteResponse) {
            execution.mayHaveRun = true
            return resume(execution, server, callId, sink, e)
        }
    }

    private fun invalidPartError(
        execution: Execution,
        part: CompletionPart,
    ): ApiError? {
        val problem =
            when {
                part.adapter != execution.version -> "the server used ${part.adapter} in place of ${execution.version}"
                part.offset != execution.emittedParts -> "the server sent part ${part.offset} in place of ${execution.emittedParts}"
                else -> return null
            }
        return ApiError(ErrorCode.BACKEND_FAILED, problem, Ran.OUTCOME_UNKNOWN)
    }

    private fun recordFirstPart(execution: Execution) {
        val admitted = execution.admitted
        waits.recordWait(admitted.serviceClass, clock.elapsed() - admitted.arrivedAt, admitted.waitTarget, execution.waitCause)
    }

    private suspend fun handleRejection(
        execution: Execution,
        server: BackendView,
        rejection: BackendRejectedException,
    ): Attempt {
        execution.failedServers += server.server
        return when (rejection.reason) {
            BackendRejectedException.Reason.NOT_LOADED -> {
                control.reportNotLoaded(server.server, execution.version)
                Attempt.Retry(retryableError(execution, "the server does not hold the adapter"))
            }

            BackendRejectedException.Reason.BUSY -> {
                Attempt.Retry(retryableError(execution, "the server is full"))
            }

            BackendRejectedException.Reason.INVALID -> {
                Attempt.Failed(ApiError(ErrorCode.INVALID_BODY, "the model engine refused the request: ${rejection.message}"))
            }

            BackendRejectedException.Reason.UNKNOWN_REQUEST -> {
                failOver(execution)
            }
        }
    }

    /** Resumes an interrupted response on a new connection to the same server; if that fails, the server is taken to have crashed. */
    private suspend fun resume(
        execution: Execution,
        server: BackendView,
        callId: String,
        sink: CompletionSink,
        error: HttpClientException.IncompleteResponse,
    ): Attempt {
        timeline.record(
            EventKind.REQUEST_FAILED,
            execution.admitted.requestId,
            cause = error.message,
            fields = mapOf("server" to server.server),
        )
        val offset = execution.emittedParts
        val stream =
            try {
                dialect.resume(server.address, callId, offset, settings.backendSilence)
            } catch (e: HttpClientException) {
                return handleCrash(execution, server)
            } catch (_: BackendRejectedException) {
                execution.failedServers += server.server
                return failOver(execution)
            }
        timeline.record(
            EventKind.REQUEST_RESUMED,
            execution.admitted.requestId,
            fields = mapOf("server" to server.server, "offset" to "$offset"),
        )
        return receive(execution, server, callId, sink) { stream }
    }

    private suspend fun handleCrash(
        execution: Execution,
        server: BackendView,
    ): Attempt {
        execution.failedServers += server.server
        execution.crashes++
        reportCrash(server)
        return if (execution.crashes >= MAX_CRASHES) Attempt.Failed(quarantined().copy(ran = Ran.OUTCOME_UNKNOWN)) else failOver(execution)
    }

    /** Fails over to another server only if no part was emitted, since parts that the caller has received cannot be revoked. */
    private fun failOver(execution: Execution): Attempt {
        val error = retryableError(execution, "the answer broke off")
        return if (execution.emittedParts == 0) Attempt.Retry(error) else Attempt.Failed(error)
    }

    private fun retryableError(
        execution: Execution,
        message: String,
    ): ApiError {
        timeline.record(EventKind.REQUEST_RETRIED, execution.admitted.requestId, cause = message)
        return ApiError(
            ErrorCode.BACKEND_FAILED,
            message,
            if (execution.mayHaveRun) Ran.OUTCOME_UNKNOWN else Ran.NOT_RUN,
            RETRY_AFTER_FAILURE,
        )
    }

    /** Records all requests that were running on [server] when it crashed as suspects, before any of them is retried elsewhere. */
    private suspend fun reportCrash(server: BackendView) {
        val requests = runningCalls.values.filter { it.server == server }.map { it.interrupted }
        if (requests.isEmpty()) return
        val command = Command.RecordCrash("${server.server}#${server.incarnation}", requests.distinct())
        withContext(NonCancellable) { control.propose(command, CRASH_RECORD_TIMEOUT) }
    }

    private fun recordFailure(
        execution: Execution,
        error: ApiError,
    ) {
        val admitted = execution.admitted
        val missed = error.code in setOf(ErrorCode.OVERLOADED, ErrorCode.NO_BACKEND, ErrorCode.LEADER_UNREACHABLE)
        if (missed) waits.recordRejection(admitted.serviceClass, error.cause ?: error.code.wireName)
        val kind = if (error.ran == Ran.NOT_RUN) EventKind.REQUEST_REFUSED else EventKind.REQUEST_FAILED
        timeline.record(
            kind,
            admitted.requestId,
            cause = error.cause ?: error.code.wireName,
            fields = mapOf("workspace" to admitted.workspace),
        )
    }

    public companion object {
        /** Service name. */
        public const val NAME: String = "completions"
        private const val MAX_ATTEMPTS = 3
        private const val MAX_CRASHES = 2
        private val LEADER_RETRY = 200.milliseconds
        private val RETRY_AFTER_FAILURE = 1.seconds
        private val CRASH_RECORD_TIMEOUT = 2.seconds
    }
}
