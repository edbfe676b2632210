package anvilslip.entry

import anvilslip.control.ControlService
import anvilslip.control.TokenRefusal
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

/** Runs requests on model engines: limits, placement, sending, resuming, retrying, and blame for crashed engines. */
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
    private val background = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val callNumbers = AtomicLong()
    private val running = ConcurrentHashMap<String, Running>()

    private class Running(
        val server: BackendView,
        val blamed: InterruptedRequest,
    )

    /** One request on its way through the attempts. */
    private class Attempts(
        val scope: AdmittedRequest,
        val request: CompletionRequest,
        val adapter: Adapter,
        val version: AdapterVersion,
        val fingerprint: String,
    ) {
        val failed = LinkedHashSet<String>()
        var sent = false
        var emitted = 0
        var crashes = 0
        var cause = "service"
    }

    private sealed interface Step {
        data object Whole : Step

        class Again(
            val error: ApiError,
        ) : Step

        class Failed(
            val error: ApiError,
        ) : Step
    }

    /** Runs [request] and hands its answer to [sink]; the error when it is not whole. */
    public suspend fun run(
        scope: AdmittedRequest,
        request: CompletionRequest,
        sink: CompletionSink,
    ): ApiError? =
        resolve(scope, request).fold({ it }) { attempts ->
            val error = limited(attempts) { reservation -> attempt(attempts, reservation, sink) }
            if (error != null) noteFailure(attempts, error)
            error
        }

    /** The adapter version that [request] is bound to from here on. */
    private fun resolve(
        scope: AdmittedRequest,
        request: CompletionRequest,
    ): Either<ApiError, Attempts> {
        val adapter = control.configuration.adapters[request.adapter]?.takeIf { it.workspace == null || it.workspace == scope.workspace }
        if (adapter == null) return ApiError(ErrorCode.UNKNOWN_MODEL, "no adapter '${request.adapter}'").left()
        val version = request.version ?: adapter.current
        if (version !in
            adapter.versions
        ) {
            return ApiError(ErrorCode.UNKNOWN_VERSION, "adapter '${adapter.name}' has no version '$version'").left()
        }
        val fingerprint = sha256("${scope.workspace}\n${adapter.name}\n$version\n${request.input}\n${request.maxTokens}".toByteArray())
        if (control.suspects[fingerprint]?.quarantined == true) return quarantined().left()
        return Attempts(scope, request, adapter, AdapterVersion(adapter.name, version), fingerprint).right()
    }

    private fun quarantined() =
        ApiError(ErrorCode.REQUEST_QUARANTINED, "servers crashed while they ran this request, so it is not run any more")

    private suspend fun limited(
        attempts: Attempts,
        action: suspend (Reservation) -> ApiError?,
    ): ApiError? = reserve(attempts).fold({ it }, { action(it) })

    private suspend fun reserve(attempts: Attempts): Either<ApiError, Reservation> {
        val tokens = (attempts.request.inputTokens + attempts.request.maxTokens).toDouble()
        return control.reserve(attempts.scope.workspace, tokens).mapLeft(::tokenError)
    }

    private suspend fun attempt(
        attempts: Attempts,
        first: Reservation,
        sink: CompletionSink,
    ): ApiError? {
        var reservation: Reservation? = first
        try {
            while (true) {
                val server = place(attempts).fold({ return it }, { it })
                try {
                    val stop = checkBeforeSending(attempts, server)
                    if (stop != null) return stop
                    val held = reservation
                    if (held != null) commit(attempts, held)?.let { return it }
                    reservation = null
                    when (val step = send(attempts, server, sink)) {
                        Step.Whole -> return null
                        is Step.Failed -> return step.error
                        is Step.Again -> if (attempts.failed.size >= MAX_ATTEMPTS) return step.error
                    }
                } finally {
                    control.useLeases.finishRequest(server.server, attempts.version, clock.elapsed())
                }
            }
        } finally {
            reservation?.let { control.cancel(attempts.scope.workspace, it) }
        }
    }

    /** The key may have been withdrawn, or the lease have run out, while the request waited. */
    private fun checkBeforeSending(
        attempts: Attempts,
        server: BackendView,
    ): ApiError? =
        when {
            !control.isFresh -> {
                authenticator.ready()
            }

            !authenticator.stillValid(attempts.scope.key) -> {
                ApiError(ErrorCode.UNKNOWN_KEY, "the key is unknown or withdrawn")
            }

            control.suspects[attempts.fingerprint]?.quarantined == true -> {
                quarantined()
            }

            !control.useLeases.holds(server.server, attempts.version, clock.elapsed()) -> {
                ApiError(ErrorCode.OVERLOADED, "the placement came too late", retryAfter = LEADER_RETRY)
            }

            else -> {
                null
            }
        }

    /** Spends [reservation], or an equal one when it expired during the wait. */
    private suspend fun commit(
        attempts: Attempts,
        reservation: Reservation,
    ): ApiError? {
        if (control.commit(attempts.scope.workspace, reservation)) return null
        return reserve(attempts).fold({ it }) { renewed ->
            if (control.commit(attempts.scope.workspace, renewed)) null else tokenError(TokenRefusal.LeaderUnreachable)
        }
    }

    private suspend fun place(attempts: Attempts): Either<ApiError, BackendView> {
        val suspected = control.suspects[attempts.fingerprint] != null || attempts.crashes > 0
        val local = if (suspected) null else startLocally(attempts)
        val name = local?.right() ?: placeByLeader(attempts, if (suspected) attempts.fingerprint else null)
        return name.flatMap { server ->
            val view = serverView(server)
            if (view == null) control.useLeases.finishRequest(server, attempts.version, clock.elapsed())
            view?.right() ?: ApiError(ErrorCode.NO_BACKEND, "the server chosen is gone", retryAfter = LEADER_RETRY).left()
        }
    }

    private suspend fun serverView(server: String): BackendView? {
        fun known() = control.view.backends.firstOrNull { it.server == server }
        if (known() == null) control.poll()
        return known()
    }

    /** A server that holds the adapter under a lease of this instance and has room in its batch. */
    private fun startLocally(attempts: Attempts): String? {
        val servers = control.view.backends.associateBy { it.server }
        return control.useLeases.startRequest(attempts.version, clock.elapsed()) { server, own ->
            val view = servers[server]?.takeIf { !it.leaving && it.server !in attempts.failed }
            val inFlight = maxOf(own, control.fleetInFlight[server] ?: 0)
            view?.let { inFlight.toDouble() / it.batch }?.takeIf { it < 1.0 }
        }
    }

    private suspend fun placeByLeader(
        attempts: Attempts,
        suspect: String?,
    ): Either<ApiError, String> {
        val scope = attempts.scope
        val wait = (scope.waitDeadline - clock.elapsed()).coerceAtLeast(Duration.ZERO)
        val tokens = (attempts.request.inputTokens + attempts.request.maxTokens).toDouble()
        val decision =
            control.requestPlacement(
                scope.workspace,
                attempts.adapter.model,
                attempts.version,
                wait,
                tokens,
                attempts.failed,
                suspect,
            )
        return when (decision) {
            is PlacementDecision.Placed -> {
                if (decision.stalledMillis > 0) attempts.cause = "load"
                decision.server.right()
            }

            is PlacementDecision.Refused -> {
                refused(attempts, decision).left()
            }
        }
    }

    private fun refused(
        attempts: Attempts,
        decision: PlacementDecision.Refused,
    ): ApiError {
        val retryAfter = decision.retryAfterMillis.milliseconds
        val ran = if (attempts.sent) Ran.OUTCOME_UNKNOWN else Ran.NOT_RUN
        val cause = decision.reason.name.lowercase()
        return when (decision.reason) {
            RefusalReason.NO_SERVER -> {
                ApiError(
                    ErrorCode.NO_BACKEND,
                    "no server runs model '${attempts.adapter.model}'",
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
        attempts: Attempts,
        server: BackendView,
        sink: CompletionSink,
    ): Step {
        val callId = "$incarnation-${callNumbers.incrementAndGet()}"
        val call = attempts.toCall(callId)
        timeline.record(
            EventKind.REQUEST_SENT,
            attempts.scope.requestId,
            fields =
                mapOf(
                    "server" to server.server,
                    "adapter" to "${attempts.version}",
                ),
        )
        val startedAt = clock.elapsed()
        running[callId] = Running(server, InterruptedRequest(attempts.fingerprint, attempts.scope.workspace, attempts.version.toString()))
        var whole = false
        try {
            val step = receive(attempts, server, callId, sink) { dialect.complete(server.address, call, settings.backendSilence) }
            whole = step == Step.Whole
            if (whole) control.observeServiceTime(clock.elapsed() - startedAt)
            return step
        } finally {
            running.remove(callId)
            if (!whole) background.launch { dialect.cancel(server.address, callId) }
        }
    }

    private fun Attempts.toCall(callId: String) =
        EngineRequest(
            requestId = callId,
            adapter = version,
            inputName = request.inputName,
            input = request.input,
            maxTokens = request.maxTokens,
            parameters = request.parameters,
            priority = (clock.now() + (scope.waitDeadline - clock.elapsed())).toEpochMilliseconds(),
        )

    private suspend fun receive(
        attempts: Attempts,
        server: BackendView,
        callId: String,
        sink: CompletionSink,
        open: suspend () -> CompletionStream,
    ): Step {
        try {
            open().use { stream ->
                while (true) {
                    val part =
                        stream.next()
                            ?: return resume(attempts, server, callId, sink, HttpClientException.IncompleteResponse("the answer ends early", false))
                    attempts.sent = true
                    wrongPart(attempts, part)?.let { return Step.Failed(it) }
                    if (part.done) {
                        sink.onComplete(attempts.version.version, part.tokens)
                        return Step.Whole
                    }
                    if (attempts.emitted == 0) noteFirstPart(attempts)
                    attempts.emitted++
                    sink.onPart(attempts.version.version, part.text)
                }
            }
        } catch (e: BackendRejectedException) {
            return onRefusal(attempts, server, e)
        } catch (e: HttpClientException.NotSent) {
            attempts.failed += server.server
            return Step.Again(failure(attempts, "the server cannot be reached: ${e.message}"))
        } catch (e: HttpClientException.IncompleteResponse) {
            attempts.sent = true
            return resume(attempts, server, callId, sink, e)
        }
    }

    private fun wrongPart(
        attempts: Attempts,
        part: CompletionPart,
    ): ApiError? {
        val problem =
            when {
                part.adapter != attempts.version -> "the server used ${part.adapter} in place of ${attempts.version}"
                part.offset != attempts.emitted -> "the server sent part ${part.offset} in place of ${attempts.emitted}"
                else -> return null
            }
        return ApiError(ErrorCode.BACKEND_FAILED, problem, Ran.OUTCOME_UNKNOWN)
    }

    private fun noteFirstPart(attempts: Attempts) {
        val scope = attempts.scope
        waits.waited(scope.serviceClass, clock.elapsed() - scope.arrivedAt, scope.waitTarget, attempts.cause)
    }

    private suspend fun onRefusal(
        attempts: Attempts,
        server: BackendView,
        refusal: BackendRejectedException,
    ): Step {
        attempts.failed += server.server
        return when (refusal.reason) {
            BackendRejectedException.Reason.NOT_LOADED -> {
                control.reportNotLoaded(server.server, attempts.version)
                Step.Again(failure(attempts, "the server does not hold the adapter"))
            }

            BackendRejectedException.Reason.BUSY -> {
                Step.Again(failure(attempts, "the server is full"))
            }

            BackendRejectedException.Reason.INVALID -> {
                Step.Failed(ApiError(ErrorCode.INVALID_BODY, "the model engine refused the request: ${refusal.message}"))
            }

            BackendRejectedException.Reason.UNKNOWN_REQUEST -> {
                brokenOff(attempts)
            }
        }
    }

    /** Takes the answer up again where it broke off, on a new connection to the same server; the server may have crashed instead. */
    private suspend fun resume(
        attempts: Attempts,
        server: BackendView,
        callId: String,
        sink: CompletionSink,
        error: HttpClientException.IncompleteResponse,
    ): Step {
        timeline.record(
            EventKind.REQUEST_FAILED,
            attempts.scope.requestId,
            cause = error.message,
            fields = mapOf("server" to server.server),
        )
        val offset = attempts.emitted
        val stream =
            try {
                dialect.resume(server.address, callId, offset, settings.backendSilence)
            } catch (e: HttpClientException) {
                return crashed(attempts, server)
            } catch (_: BackendRejectedException) {
                attempts.failed += server.server
                return brokenOff(attempts)
            }
        timeline.record(
            EventKind.REQUEST_RESUMED,
            attempts.scope.requestId,
            fields = mapOf("server" to server.server, "offset" to "$offset"),
        )
        return receive(attempts, server, callId, sink) { stream }
    }

    private suspend fun crashed(
        attempts: Attempts,
        server: BackendView,
    ): Step {
        attempts.failed += server.server
        attempts.crashes++
        blame(server)
        return if (attempts.crashes >= MAX_CRASHES) Step.Failed(quarantined().copy(ran = Ran.OUTCOME_UNKNOWN)) else brokenOff(attempts)
    }

    /** Parts that the caller already has cannot be taken back, so only an answer that has not begun is tried elsewhere. */
    private fun brokenOff(attempts: Attempts): Step {
        val error = failure(attempts, "the answer broke off")
        return if (attempts.emitted == 0) Step.Again(error) else Step.Failed(error)
    }

    private fun failure(
        attempts: Attempts,
        message: String,
    ): ApiError {
        timeline.record(EventKind.REQUEST_RETRIED, attempts.scope.requestId, cause = message)
        return ApiError(ErrorCode.BACKEND_FAILED, message, if (attempts.sent) Ran.OUTCOME_UNKNOWN else Ran.NOT_RUN, RETRY_AFTER_FAILURE)
    }

    /** Records all requests that were running on [server] when it crashed, before any of them runs elsewhere. */
    private suspend fun blame(server: BackendView) {
        val requests = running.values.filter { it.server == server }.map { it.blamed }
        if (requests.isEmpty()) return
        val command = Command.RecordCrash("${server.server}#${server.incarnation}", requests.distinct())
        withContext(NonCancellable) { control.propose(command, BLAME_TIMEOUT) }
    }

    private fun noteFailure(
        attempts: Attempts,
        error: ApiError,
    ) {
        val scope = attempts.scope
        val missed = error.code in setOf(ErrorCode.OVERLOADED, ErrorCode.NO_BACKEND, ErrorCode.LEADER_UNREACHABLE)
        if (missed) waits.refused(scope.serviceClass, error.cause ?: error.code.wireName)
        val kind = if (error.ran == Ran.NOT_RUN) EventKind.REQUEST_REFUSED else EventKind.REQUEST_FAILED
        timeline.record(kind, scope.requestId, cause = error.cause ?: error.code.wireName, fields = mapOf("workspace" to scope.workspace))
    }

    public companion object {
        /** Name in the service registry. */
        public const val NAME: String = "completions"
        private const val MAX_ATTEMPTS = 3
        private const val MAX_CRASHES = 2
        private val LEADER_RETRY = 200.milliseconds
        private val RETRY_AFTER_FAILURE = 1.seconds
        private val BLAME_TIMEOUT = 2.seconds
    }
}
