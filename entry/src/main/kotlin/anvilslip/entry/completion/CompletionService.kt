package anvilslip.entry.completion

import anvilslip.control.ControlService
import anvilslip.control.TokenRefusal
import anvilslip.entry.Authenticator
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import anvilslip.entry.http.Ran
import anvilslip.entry.sha256
import anvilslip.entry.tokenError
import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.Service
import anvilslip.kernel.Timeline
import anvilslip.policy.AdapterVersion
import anvilslip.policy.BackendView
import anvilslip.policy.Reservation
import anvilslip.settings.RequestSettings
import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * Executes completion requests on model engines: reserves tokens, places the request on a server, sends it, resumes interrupted
 * responses, retries on other servers, and quarantines requests that repeatedly crash servers.
 */
public class CompletionService(
    incarnation: String,
    private val control: ControlService,
    dialect: BackendDialect,
    private val authenticator: Authenticator,
    private val waits: WaitTracker,
    private val timeline: Timeline,
    private val clock: Clock,
    settings: RequestSettings,
) : Service {
    override val name: String = NAME
    private val placer = CompletionPlacer(control, clock)
    private val sender = CompletionSender(incarnation, control, dialect, waits, timeline, clock, settings)

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
    ): Either<ApiError, CompletionExecution> {
        val adapter = control.configuration.adapters[request.adapter]?.takeIf { it.workspace == null || it.workspace == admitted.workspace }
        if (adapter == null) return ApiError(ErrorCode.UNKNOWN_MODEL, "no adapter '${request.adapter}'").left()
        val version = request.version ?: adapter.current
        if (version !in
            adapter.versions
        ) {
            return ApiError(ErrorCode.UNKNOWN_VERSION, "adapter '${adapter.name}' has no version '$version'").left()
        }
        val fingerprint = sha256("${admitted.workspace}\n${adapter.name}\n$version\n${request.input}\n${request.maxTokens}".toByteArray())
        if (control.suspects[fingerprint]?.quarantined == true) return quarantinedError().left()
        return CompletionExecution(admitted, request, adapter, AdapterVersion(adapter.name, version), fingerprint).right()
    }

    private suspend fun withReservation(
        execution: CompletionExecution,
        action: suspend (Reservation) -> ApiError?,
    ): ApiError? = reserve(execution).fold({ it }, { action(it) })

    private suspend fun reserve(execution: CompletionExecution): Either<ApiError, Reservation> =
        control.reserve(execution.admitted.workspace, execution.tokens).mapLeft(::tokenError)

    private suspend fun runAttempts(
        execution: CompletionExecution,
        initialReservation: Reservation,
        sink: CompletionSink,
    ): ApiError? {
        var reservation: Reservation? = initialReservation
        try {
            while (true) {
                val server = placer.place(execution).fold({ return it }, { it })
                try {
                    val rejection = checkBeforeSending(execution, server)
                    if (rejection != null) return rejection
                    val unspent = reservation
                    if (unspent != null) commit(execution, unspent)?.let { return it }
                    reservation = null
                    when (val outcome = sender.send(execution, server, sink)) {
                        CompletionAttempt.Completed -> return null
                        is CompletionAttempt.Failed -> return outcome.error
                        is CompletionAttempt.Retry -> if (execution.failedServers.size >= MAX_ATTEMPTS) return outcome.error
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
        execution: CompletionExecution,
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
                quarantinedError()
            }

            !control.useLeases.holds(server.server, execution.version, clock.elapsed()) -> {
                ApiError(ErrorCode.OVERLOADED, "the placement came too late", retryAfter = CompletionPlacer.LEADER_RETRY)
            }

            else -> {
                null
            }
        }

    /** Commits [reservation], or a new one for the same tokens if it expired during the wait. */
    private suspend fun commit(
        execution: CompletionExecution,
        reservation: Reservation,
    ): ApiError? {
        if (control.commit(execution.admitted.workspace, reservation)) return null
        return reserve(execution).fold({ it }) { renewed ->
            if (control.commit(execution.admitted.workspace, renewed)) null else tokenError(TokenRefusal.LeaderUnreachable)
        }
    }

    private fun recordFailure(
        execution: CompletionExecution,
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
    }
}
