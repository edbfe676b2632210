package anvilslip.entry.completion

import anvilslip.control.ControlService
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.Ran
import anvilslip.kernel.Clock
import anvilslip.kernel.EventKind
import anvilslip.kernel.Timeline
import anvilslip.policy.BackendView
import anvilslip.settings.RequestSettings
import anvilslip.state.Command
import anvilslip.state.InterruptedRequest
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

/** Runs a placed request on its server, resumes an interrupted response and reports the crash of a server. */
internal class CompletionSender(
    private val incarnation: String,
    private val control: ControlService,
    private val dialect: BackendDialect,
    private val waits: WaitTracker,
    private val timeline: Timeline,
    private val clock: Clock,
    private val settings: RequestSettings,
) {
    private val backgroundScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val callCounter = AtomicLong()
    private val runningCalls = ConcurrentHashMap<String, RunningCall>()

    private class RunningCall(
        val server: BackendView,
        val interrupted: InterruptedRequest,
    )

    /** Sends [execution] to [server] and passes the response on to [sink]. */
    suspend fun send(
        execution: CompletionExecution,
        server: BackendView,
        sink: CompletionSink,
    ): CompletionAttempt {
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
            completed = outcome == CompletionAttempt.Completed
            if (completed) control.observeServiceTime(clock.elapsed() - startedAt)
            return outcome
        } finally {
            runningCalls.remove(callId)
            if (!completed) backgroundScope.launch { dialect.cancel(server.address, callId) }
        }
    }

    private fun CompletionExecution.toEngineRequest(callId: String) =
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
        execution: CompletionExecution,
        server: BackendView,
        callId: String,
        sink: CompletionSink,
        open: suspend () -> CompletionStream,
    ): CompletionAttempt {
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
                    invalidPartError(execution, part)?.let { return CompletionAttempt.Failed(it) }
                    if (part.done) {
                        sink.onComplete(execution.version.version, part.tokens)
                        return CompletionAttempt.Completed
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
            return CompletionAttempt.Retry(retryableError(execution, "the server cannot be reached: ${e.message}"))
        } catch (e: HttpClientException.IncompleteResponse) {
            execution.mayHaveRun = true
            return resume(execution, server, callId, sink, e)
        }
    }

    private fun invalidPartError(
        execution: CompletionExecution,
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

    private fun recordFirstPart(execution: CompletionExecution) {
        val admitted = execution.admitted
        waits.recordWait(admitted.serviceClass, clock.elapsed() - admitted.arrivedAt, admitted.waitTarget, execution.waitCause)
    }

    private suspend fun handleRejection(
        execution: CompletionExecution,
        server: BackendView,
        rejection: BackendRejectedException,
    ): CompletionAttempt {
        execution.failedServers += server.server
        return when (rejection.reason) {
            BackendRejectedException.Reason.NOT_LOADED -> {
                control.reportNotLoaded(server.server, execution.version)
                CompletionAttempt.Retry(retryableError(execution, "the server does not hold the adapter"))
            }

            BackendRejectedException.Reason.BUSY -> {
                CompletionAttempt.Retry(retryableError(execution, "the server is full"))
            }

            BackendRejectedException.Reason.INVALID -> {
                CompletionAttempt.Failed(ApiError(ErrorCode.INVALID_BODY, "the model engine refused the request: ${rejection.message}"))
            }

            BackendRejectedException.Reason.UNKNOWN_REQUEST -> {
                failOver(execution)
            }
        }
    }

    /** Resumes an interrupted response on a new connection to the same server; if that fails, the server is taken to have crashed. */
    private suspend fun resume(
        execution: CompletionExecution,
        server: BackendView,
        callId: String,
        sink: CompletionSink,
        error: HttpClientException.IncompleteResponse,
    ): CompletionAttempt {
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
        execution: CompletionExecution,
        server: BackendView,
    ): CompletionAttempt {
        execution.failedServers += server.server
        execution.crashes++
        reportCrash(server)
        if (execution.crashes < MAX_CRASHES) return failOver(execution)
        return CompletionAttempt.Failed(quarantinedError().copy(ran = Ran.OUTCOME_UNKNOWN))
    }

    /** Fails over to another server only if no part was emitted, since parts that the caller has received cannot be revoked. */
    private fun failOver(execution: CompletionExecution): CompletionAttempt {
        val error = retryableError(execution, "the answer broke off")
        return if (execution.emittedParts == 0) CompletionAttempt.Retry(error) else CompletionAttempt.Failed(error)
    }

    private fun retryableError(
        execution: CompletionExecution,
        message: String,
    ): ApiError {
        timeline.record(EventKind.REQUEST_RETRIED, execution.admitted.requestId, cause = message)
        return ApiError(ErrorCode.BACKEND_FAILED, message, execution.ran, RETRY_AFTER_FAILURE)
    }

    /** Records all requests that were running on [server] when it crashed as suspects, before any of them is retried elsewhere. */
    private suspend fun reportCrash(server: BackendView) {
        val requests = runningCalls.values.filter { it.server == server }.map { it.interrupted }
        if (requests.isEmpty()) return
        val command = Command.RecordCrash("${server.server}#${server.incarnation}", requests.distinct())
        withContext(NonCancellable) { control.propose(command, CRASH_RECORD_TIMEOUT) }
    }

    private companion object {
        const val MAX_CRASHES = 2
        val RETRY_AFTER_FAILURE = 1.seconds
        val CRASH_RECORD_TIMEOUT = 2.seconds
    }
}
