package anvilslip.gateway

import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpClientResponse
import anvilslip.entry.http.HttpResponse
import anvilslip.kernel.Clock
import anvilslip.policy.RequestKind
import anvilslip.policy.RequestStep
import anvilslip.policy.ServerIncarnation
import anvilslip.policy.StreamOrigin
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends a request to one backend server and relays the response to the client. */
internal class RequestSender(
    private val transport: ServerTransport,
    private val dialect: RequestDialect,
    private val progress: ProgressReporter,
    private val availability: ServerAvailability,
    private val clock: Clock,
    /** True while this instance cannot reach the servers, so that its failures say nothing of them. */
    private val isIsolated: () -> Boolean = { false },
    /** Idle connections that are kept for each server of a service. */
    private val maxIdle: (service: String) -> Int = { HttpClientRequest.DEFAULT_MAX_IDLE },
) {
    suspend fun send(
        exchange: Exchange,
        attempt: Attempt,
    ): AttemptResult {
        val call = buildCall(exchange, attempt)
        exchange.gate = attempt.gate
        val incarnation = availability.incarnationOf(attempt.decision.server)
        val sentAt = clock.elapsed()
        val response =
            try {
                transport.open(attempt.decision.address, call, exchange.deadline - clock.elapsed() + READ_TIMEOUT_MARGIN)
            } catch (e: HttpClientException.NotSent) {
                exchange.gate = null
                progress.recordStep(attempt.number, if (isIsolated()) RequestStep.NOT_RUN else RequestStep.UNREACHABLE)
                return AttemptResult.NotRun(e.message ?: "not sent")
            } catch (e: HttpClientException.IncompleteResponse) {
                return resultOf(e)
            }
        response.use {
            val notice = dialect.noticeOf(response)
            availability.record(incarnation, notice)
            val verdict = dialect.classify(response)
            // Only an answer to a request that was run shows that the server no longer names a limit.
            val isLimitKnown = verdict == ServerVerdict.ANSWER || notice.limit != LimitNotice.None
            if (isLimitKnown) availability.recordLimit(incarnation, notice.limit, attempt.limitGrant, sentAt)
            return when (verdict) {
                ServerVerdict.NOT_RUN -> recordNotRun(exchange, attempt, RequestStep.NOT_RUN, response)
                ServerVerdict.NOT_HELD -> recordNotRun(exchange, attempt, RequestStep.NOT_HELD, response)
                ServerVerdict.FOREIGN -> AttemptResult.Broken("the answer was not created by the server")
                ServerVerdict.ANSWER -> relay(exchange, attempt, response).also { recordEndlessAnswer(it, incarnation) }
            }
        }
    }

    private fun recordEndlessAnswer(
        result: AttemptResult,
        incarnation: ServerIncarnation,
    ) {
        if (result is AttemptResult.NotKept && result.isEndless) availability.recordEndlessAnswer(incarnation)
    }

    private fun buildCall(
        exchange: Exchange,
        attempt: Attempt,
    ): HttpClientRequest {
        val request = exchange.request
        val metadata =
            ForwardingMetadata(
                server = attempt.decision.server,
                workspace = exchange.workspace?.name,
                remaining = (exchange.deadline - clock.elapsed()).coerceAtLeast(MIN_REMAINING),
                priority = exchange.priority,
                version = attempt.decision.version,
                lastEventId = exchange.events.lastId?.toString() ?: request.lastEventId,
            )
        return HttpClientRequest(
            method = request.call.method,
            path = request.call.target,
            headers = dialect.headers(request, metadata),
            body = request.call.body,
            freshConnection = !exchange.route.isRetryable,
            host = request.call.header("host"),
            correlation = dialect.correlationOf(request),
            gate = attempt.gate,
            maxIdle = maxIdle(exchange.service),
        )
    }

    private suspend fun recordNotRun(
        exchange: Exchange,
        attempt: Attempt,
        step: RequestStep,
        response: HttpClientResponse,
    ): AttemptResult {
        exchange.gate = null
        progress.recordStep(attempt.number, step)
        val reason = "${response.status}"
        try {
            response.discard(MAX_REFUSAL_BYTES)
        } catch (e: HttpClientException) {
            return AttemptResult.NotRun("$reason, body truncated: ${e.message}", step == RequestStep.NOT_HELD)
        }
        return AttemptResult.NotRun(reason, step == RequestStep.NOT_HELD)
    }

    private suspend fun relay(
        exchange: Exchange,
        attempt: Attempt,
        response: HttpClientResponse,
    ): AttemptResult {
        progress.recordStep(attempt.number, RequestStep.ANSWERING)
        val isStream = exchange.route.kind == RequestKind.STREAMING && response.status == OK
        return try {
            if (isStream) relayStream(exchange, attempt, response) else relayWhole(exchange, response)
        } catch (e: HttpClientException) {
            resultOf(e)
        }
    }

    private fun resultOf(error: HttpClientException): AttemptResult {
        val reason = error.message ?: "broken"
        if (error !is HttpClientException.NotKept) return AttemptResult.Broken(reason)
        return AttemptResult.NotKept(
            reason,
            isEndless =
                error.reason == NotKeptReason.TOO_LONG || error.reason == NotKeptReason.NO_ROOM_NO_LENGTH,
        )
    }

    private suspend fun relayWhole(
        exchange: Exchange,
        response: HttpClientResponse,
    ): AttemptResult {
        val body = response.readAll(MAX_BODY_BYTES)
        val headers = dialect.responseHeaders(response)
        val whole = HttpResponse(response.status, body.parts, response.contentType, headers, body.memory)
        if (response.status >= SERVER_ERROR || exchange.hasResponseStarted) return AttemptResult.Failed(whole)
        exchange.hasResponseStarted = true
        exchange.responder.respond(whole)
        return AttemptResult.Delivered(response.status)
    }

    private suspend fun relayStream(
        exchange: Exchange,
        attempt: Attempt,
        response: HttpClientResponse,
    ): AttemptResult {
        if (!exchange.hasResponseStarted) {
            exchange.hasResponseStarted = true
            exchange.responder.startStream(response.status, response.contentType ?: EVENT_STREAM, dialect.responseHeaders(response))
        }
        exchange.events.discardPartialEvent()
        while (true) {
            val bytes = response.read() ?: break
            val events = exchange.events.append(bytes)
            response.keep(exchange.events.partialBytes)
            if (events.isNotEmpty()) {
                val memory = response.hold(events.size)
                recordOrigin(exchange, attempt)
                exchange.responder.sendPart(events, memory)
            }
            if (exchange.events.isOverlong) return AttemptResult.NotKept("an event of the stream is too long", isEndless = true)
        }
        if (exchange.events.hasPartialEvent) return AttemptResult.Broken("the stream ended within an event")
        exchange.responder.endStream()
        return AttemptResult.Delivered(response.status)
    }

    /** Records where a stream began, before its first event is passed on. */
    private fun recordOrigin(
        exchange: Exchange,
        attempt: Attempt,
    ) {
        if (exchange.origin != null || !exchange.route.resumable) return
        val origin = StreamOrigin(exchange.service, attempt.softwareVersion)
        exchange.bindTo(origin)
        val attemptId = exchange.request.attemptId ?: return
        progress.recordStream(exchange.streamRecord(attemptId, origin, clock.elapsed()))
    }

    private companion object {
        const val OK = 200
        const val SERVER_ERROR = 500
        const val EVENT_STREAM = "text/event-stream"
        const val MAX_BODY_BYTES = 16 * 1024 * 1024
        const val MAX_REFUSAL_BYTES = 64 * 1024
        val MIN_REMAINING: Duration = 1.milliseconds

        /** The deadline of the exchange ends the wait for a silent server, so that the client is told of a timeout. */
        val READ_TIMEOUT_MARGIN = 1.seconds
    }
}

private typealias NotKeptReason = HttpClientException.NotKept.Reason
