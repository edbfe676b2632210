package anvilslip.gateway

import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpServerRequest
import anvilslip.kernel.Clock
import anvilslip.policy.DispatchDecision
import anvilslip.policy.DispatchRefusal
import anvilslip.policy.DispatchRequest
import anvilslip.policy.RequestStep
import anvilslip.policy.RetryBudget
import anvilslip.policy.RunningRequest
import anvilslip.policy.ServingConfiguration
import anvilslip.policy.ServingRoute
import anvilslip.policy.ServingWorkspace
import anvilslip.state.AdapterName
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Serves client requests: finds the route and the workspace, asks for admission, forwards the request and relays the response. */
internal class Forwarder(
    private val self: ForwarderIdentity,
    private val dialect: RequestDialect,
    private val clusterView: ClusterView,
    private val admit: suspend (DispatchRequest) -> AdmissionClient.Result,
    private val local: LocalDispatch,
    private val progress: ProgressReporter,
    private val sender: RequestSender,
    private val availability: ServerAvailability,
    private val crashDetector: CrashDetector,
    private val streams: StreamResolver,
    metrics: GatewayMetrics,
    private val clock: Clock,
    private val retryBudget: () -> RetryBudget,
) : HttpHandler {
    private val log = RequestLog(metrics, clock)
    private val lastNumber = AtomicLong()
    private val suspects = clusterView.suspects
    private val retryBudgets = ConcurrentHashMap<String, RetryBudget>()

    /** True once new requests are rejected because this instance is about to stop. */
    @Volatile
    var isRejecting: Boolean = false

    override suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    ) {
        // The client has waited since it sent the headers, also while its body arrived.
        val startedAt = clock.elapsed() - call.receiveTime
        val request = dialect.decode(call)
        val configuration = clusterView.active.configuration
        if (isRejecting) return deny(request, responder, UNAVAILABLE, "stopping", STOPPING_RETRY_AFTER)
        if (configuration == null) return deny(request, responder, UNAVAILABLE, "not ready", STARTING_RETRY_AFTER)
        val route = configuration.route(request.host, call.path) ?: return deny(request, responder, NOT_FOUND, "no route")
        val workspace = request.apiKey?.let(configuration::workspaceOf)
        if (workspace == null && !route.isPublic && configuration.needsKeys) return deny(request, responder, UNAUTHORIZED, "unknown key")
        forward(newExchange(request, route, workspace.takeUnless { route.isPublic }, configuration, responder, startedAt))
    }

    private fun newExchange(
        request: ClientRequest,
        route: ServingRoute,
        workspace: ServingWorkspace?,
        configuration: ServingConfiguration,
        responder: HttpResponder,
        startedAt: Duration,
    ): Exchange {
        val timeout = minOf(request.timeout ?: route.timeout, route.timeout)
        return Exchange(
            request = request,
            route = route,
            service = route.pickService(Random.nextDouble()),
            workspace = workspace,
            configurationVersion = configuration.version,
            responder = responder,
            startedAt = startedAt,
            deadline = startedAt + timeout,
        )
    }

    private suspend fun forward(exchange: Exchange) {
        retryBudgetFor(exchange.service).let { synchronized(it) { it.recordRequest(clock.elapsed()) } }
        var outcome = "client_left"
        try {
            val finished = withTimeoutOrNull(exchange.deadline - clock.elapsed()) { bindResumption(exchange) ?: serve(exchange) }
            outcome = finished ?: failExpired(exchange)
        } finally {
            exchange.replaceFailure(null)
            log.recordOutcome(exchange, outcome)
        }
    }

    /**
     * Finds out where the stream began that the client resumes, if it resumes one. Returns null if the request may be served, or its outcome
     * if it is refused: what another software version or service generates would not fit the events that the client has.
     */
    private suspend fun bindResumption(exchange: Exchange): String? {
        if (!exchange.isResumption) return null
        val result = streams.resolve(exchange, exchange.route.target * LEADERLESS_WAIT_SHARE)
        val origin = result.origin?.takeIf { known -> exchange.route.split.any { it.service == known.service && it.weight > 0 } }
        log.recordResumption(exchange, result)
        if (origin == null) {
            val retryAfter = if (result.source == StreamResolver.Source.NO_LEADER) BUSY_RETRY_AFTER else null
            return fail(exchange, UNAVAILABLE, "refused_unknown_origin", retryAfter)
        }
        exchange.bindTo(origin)
        exchange.request.resumedAttemptId?.let { progress.recordStream(exchange.streamRecord(it, origin, clock.elapsed())) }
        return null
    }

    /** Tries servers until the request is answered or has failed; returns its outcome for the log and the metrics. */
    private suspend fun serve(exchange: Exchange): String {
        while (true) {
            suspects.quarantinedKey(exchange.suspectKeys)?.let { return refuseQuarantined(exchange, it) }
            val number = lastNumber.incrementAndGet()
            val avoided = if (exchange.acceptsAvoided) emptySet() else availability.avoided(exchange.service)
            val demand = demand(exchange, number, avoided)
            val askedAt = clock.elapsed()
            val admitted = admit(demand)
            exchange.lastTerm = admitted.term
            val decision = admitted.decision
            if (decision is DispatchDecision.Refuse) {
                if (avoided.isNotEmpty() && decision.reason in ENDED_BY_MORE_SERVERS) {
                    exchange.acceptsAvoided = true
                    continue
                }
                if (waitBeforeReadmission(exchange, admitted.term, decision)) continue
                return answerRefusal(exchange, decision)
            }
            check(decision is DispatchDecision.Send) { "the admission of request $number is not decided" }
            recordCharge(exchange, demand)
            exchange.lastServer = decision.server
            progress.recordLoad(number, decision.server, exchange.service, unreadTokens(exchange))
            progress.recordSent(number) { runningRequest(exchange, number, decision.server) }
            if (admitted.term == null) reportLocalDecision(exchange, demand, decision)
            val attempt = Attempt(number, decision, admitted.term, askedAt, softwareVersionOf(decision))
            val result = sendOnce(exchange, attempt) ?: continue
            handleResult(exchange, decision, result)?.let { return it }
        }
    }

    /** Sends the request, or returns null if since it was admitted it may no longer be sent to that server. */
    private suspend fun sendOnce(
        exchange: Exchange,
        attempt: Attempt,
    ): AttemptResult? {
        var outputTokens: Int? = null
        try {
            if (attempt.decision.holdMillis > 0) delay(attempt.decision.holdMillis)
            if (isRevoked(exchange, attempt.decision.server) || isLimitUnknown(attempt) || isOtherVersion(exchange, attempt)) {
                progress.recordStep(attempt.number, RequestStep.NOT_RUN)
                // The leader refunds the tokens of a request that was not run, so the next admission must charge them again.
                exchange.isCharged = exchange.possibleRuns > 0
                if (clusterView.isEvacuated(attempt.decision.server)) excludeEvacuatedServers(exchange)
                if (isOtherVersion(exchange, attempt)) exchange.excludedServers += attempt.decision.server
                return null
            }
            if (exchange.origin != null) log.recordResumedAttempt(exchange, attempt)
            exchange.attempts++
            exchange.firstSentAt = exchange.firstSentAt ?: clock.elapsed()
            val result = sender.send(exchange, attempt)
            if (result is AttemptResult.Delivered) outputTokens = outputTokensOf(exchange)
            return result
        } finally {
            progress.recordStep(attempt.number, RequestStep.ENDED, outputTokens)
        }
    }

    /** True if the request has been quarantined, [server] has asked for no more requests, or its zone is under evacuation. */
    private fun isRevoked(
        exchange: Exchange,
        server: String,
    ): Boolean =
        clusterView.isEvacuated(server) || suspects.quarantinedKey(exchange.suspectKeys) != null || availability.isUnavailable(server)

    /** True if the server has named a limit of which the decision to send the request could not know. */
    private fun isLimitUnknown(attempt: Attempt): Boolean =
        attempt.decision.limitSequence == null && availability.isLimitedSince(attempt.decision.server, attempt.askedAt)

    /** The version that the leader has chosen; an instance of an earlier version of this system does not tell. */
    private fun softwareVersionOf(decision: DispatchDecision.Send): String =
        decision.softwareVersion ?: clusterView.server(decision.server)?.softwareVersion.orEmpty()

    /** True if the server does not run the version that began the stream, or a newer report than that of the leader names another one. */
    private fun isOtherVersion(
        exchange: Exchange,
        attempt: Attempt,
    ): Boolean {
        val reported = clusterView.server(attempt.decision.server)?.softwareVersion
        val isRestarted = reported != null && reported != attempt.softwareVersion
        return isRestarted || exchange.origin?.let { it.softwareVersion != attempt.softwareVersion } == true
    }

    /** Excludes the servers of evacuated zones, since a leader that does not know of the evacuation yet would choose the next of them. */
    private fun excludeEvacuatedServers(exchange: Exchange) {
        exchange.excludedServers += clusterView.servers().filter(clusterView::isEvacuated).map { it.id }
    }

    /** The events of a stream are numbered by token. */
    private fun outputTokensOf(exchange: Exchange): Int? =
        exchange.events.lastId
            ?.takeIf { it in 1..exchange.request.maxOutputTokens }
            ?.toInt()

    /** Refuses a request because [key], one of its suspect keys, is quarantined. Without a retry delay, since it will not be run later. */
    private suspend fun refuseQuarantined(
        exchange: Exchange,
        key: String,
    ): String {
        suspects.recordSeen(key)
        log.recordQuarantine(exchange, key)
        return fail(exchange, if (exchange.possibleRuns == 0) UNAVAILABLE else BAD_GATEWAY, "refused_quarantined", null)
    }

    private fun recordCharge(
        exchange: Exchange,
        demand: DispatchRequest,
    ) {
        exchange.isCharged = true
        if (demand.charge == 0L) return
        exchange.charge += demand.charge
        exchange.chargedAt = clock.elapsed()
    }

    /**
     * Waits after a refusal and returns true if the request should ask for admission again. That is the case while there is no
     * leader, since one is elected within about a second, and when a stream has been started, since a pause is better for the client
     * than an aborted response.
     */
    private suspend fun waitBeforeReadmission(
        exchange: Exchange,
        term: Long?,
        refusal: DispatchDecision.Refuse,
    ): Boolean {
        val now = clock.elapsed()
        val lastBreakAt = exchange.lastBreakAt
        if (exchange.hasResponseStarted && lastBreakAt != null) {
            if (now - lastBreakAt > RESUME_TIMEOUT || refusal.reason == DispatchRefusal.VERSION_GONE) return false
            delay(RESUME_POLL)
            return true
        }
        val waited = now - exchange.startedAt
        val electionMayHelp = term == null && refusal.reason !in INDEPENDENT_OF_LEADER
        val maxWait = exchange.route.target * LEADERLESS_WAIT_SHARE
        if (!electionMayHelp || waited > maxWait) return false
        delay(LEADERLESS_POLL)
        return true
    }

    /** Returns the outcome of the request, or null if it must be sent again. */
    private suspend fun handleResult(
        exchange: Exchange,
        decision: DispatchDecision.Send,
        result: AttemptResult,
    ): String? {
        when (result) {
            is AttemptResult.Delivered -> {
                recordAdapterHolder(exchange, decision.server)
                if (result.status in SUCCESS) suspects.recordServed(exchange.suspectKeys)
                return "answered_${result.status}"
            }

            is AttemptResult.NotRun -> {
                log.recordFailedAttempt("not_run", exchange, decision, result.reason)
                if (result.isNotHeld) adapterOf(exchange)?.let { local.recordNotHeld(decision.server, it) }
                exchange.isCharged = exchange.possibleRuns > 0
                exchange.excludedServers += decision.server
                if (exchange.attempts < MAX_ATTEMPTS && acquireRetry(exchange)) return null
                return fail(exchange, if (exchange.possibleRuns == 0) UNAVAILABLE else BAD_GATEWAY, "server_busy", BUSY_RETRY_AFTER)
            }

            is AttemptResult.Failed -> {
                exchange.possibleRuns++
                exchange.replaceFailure(result.response)
                exchange.excludedServers += decision.server
                if (canRunAgain(exchange) && acquireRetry(exchange)) return null
                return fail(exchange, result.response.status, "failed_${result.response.status}", null)
            }

            is AttemptResult.NotKept -> {
                log.recordFailedAttempt("not_kept", exchange, decision, result.reason)
                exchange.possibleRuns++
                exchange.lastBreakAt = clock.elapsed()
                exchange.excludedServers += decision.server
                if (result.isEndless && canRunAgain(exchange) && acquireRetry(exchange)) return null
                return fail(exchange, BAD_GATEWAY, "answer_not_kept", null)
            }

            is AttemptResult.Broken -> {
                log.recordFailedAttempt("broken", exchange, decision, result.reason)
                exchange.possibleRuns++
                exchange.lastBreakAt = clock.elapsed()
                exchange.excludedServers += decision.server
                crashDetector.checkAfterBreak(decision) { suspects.recordCrash(exchange.suspectKeys, it) }
                if (canRunAgain(exchange) && acquireRetry(exchange)) return null
                return fail(exchange, BAD_GATEWAY, "broken", null)
            }
        }
    }

    private fun canRunAgain(exchange: Exchange): Boolean = exchange.route.isRetryable && exchange.possibleRuns < exchange.route.maxAttempts

    private fun acquireRetry(exchange: Exchange): Boolean {
        val budget = retryBudgetFor(exchange.service)
        return synchronized(budget) { budget.tryRetry(clock.elapsed()) }
    }

    private fun retryBudgetFor(service: String): RetryBudget = retryBudgets.computeIfAbsent(service) { retryBudget() }

    private fun demand(
        exchange: Exchange,
        number: Long,
        avoided: Set<String>,
    ): DispatchRequest {
        val request = exchange.request
        val now = clock.elapsed()
        return DispatchRequest(
            entry = self.host,
            number = number,
            service = exchange.service,
            workspace = exchange.workspace?.name,
            charge = if (exchange.isCharged) 0 else exchange.workspace?.charge(request.totalTokens) ?: 0,
            zone = self.zone,
            targetMillis = (exchange.startedAt + exchange.route.target - now).inWholeMilliseconds,
            remainingMillis = (exchange.deadline - now).inWholeMilliseconds,
            model = request.model,
            adapter = request.adapter,
            promptTokens = request.promptTokens,
            exclude = exchange.excludedServers + availability.unavailable + avoided,
            isSuspect = suspects.isSuspect(exchange.suspectKeys),
            priority = exchange.priority,
            maxOutputTokens = request.maxOutputTokens,
            lengthHint = request.lengthHint,
            softwareVersion = exchange.origin?.softwareVersion,
        )
    }

    /** Tells the leader of a request on which it has not decided, so that it knows the load of the server and what the workspace spends. */
    private fun reportLocalDecision(
        exchange: Exchange,
        demand: DispatchRequest,
        decision: DispatchDecision.Send,
    ) {
        val running = runningRequest(exchange, demand.number, decision.server)
        progress.recordSentLocally(running.copy(workspace = demand.workspace, charge = demand.charge))
    }

    private fun runningRequest(
        exchange: Exchange,
        number: Long,
        server: String,
    ): RunningRequest {
        val request = exchange.request
        val left = (exchange.deadline - clock.elapsed()).inWholeMilliseconds
        return RunningRequest(number, server, request.model, request.adapter, unreadTokens(exchange), left, exchange.priority)
    }

    private fun unreadTokens(exchange: Exchange): Int = if (exchange.hasResponseStarted) 0 else exchange.request.promptTokens

    private fun recordAdapterHolder(
        exchange: Exchange,
        server: String,
    ) {
        adapterOf(exchange)?.let { local.recordHolder(server, it) }
    }

    private fun adapterOf(exchange: Exchange): AdapterName? =
        exchange.request.let { if (it.model != null && it.adapter != null) AdapterName(it.model, it.adapter) else null }

    private suspend fun answerRefusal(
        exchange: Exchange,
        refusal: DispatchDecision.Refuse,
    ): String {
        log.recordRefusal(exchange, refusal)
        val status = if (refusal.reason == DispatchRefusal.OVER_LIMIT) TOO_MANY_REQUESTS else UNAVAILABLE
        val reason = "refused_${refusal.reason.name.lowercase()}"
        val retryAfter =
            when (refusal.reason) {
                DispatchRefusal.EVACUATED -> spread(refusal, exchange)
                DispatchRefusal.VERSION_GONE -> null
                else -> retryAfter(refusal, exchange)
            }
        return fail(exchange, if (exchange.possibleRuns == 0) status else BAD_GATEWAY, reason, retryAfter)
    }

    private fun retryAfter(
        refusal: DispatchDecision.Refuse,
        exchange: Exchange,
    ): Duration = availability.timeUntilAvailable(exchange.service) ?: refusal.retryMillis.milliseconds

    /** The retry delay of [refusal] plus or minus a quarter, so that clients refused together do not return together. */
    private fun spread(
        refusal: DispatchDecision.Refuse,
        exchange: Exchange,
    ): Duration {
        val delay = refusal.retryMillis.milliseconds * Random.nextDouble(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        return minOf(delay, (exchange.deadline - clock.elapsed()) / 3).coerceAtLeast(Duration.ZERO)
    }

    /**
     * Fails a request whose deadline, set by the client or by the timeout of the route, has passed. It is answered as not run if all
     * attempts were turned away or gave up before a byte was sent.
     */
    private suspend fun failExpired(exchange: Exchange): String =
        fail(exchange, if (exchange.cancelAttempt()) GATEWAY_TIMEOUT else UNAVAILABLE, "timed_out", null)

    /** Ends a request without a success: with the failure that a server has answered, if there is one, otherwise with [status]. */
    private suspend fun fail(
        exchange: Exchange,
        status: Int,
        reason: String,
        retryAfter: Duration?,
    ): String {
        if (exchange.hasResponseStarted) return abortResponse(exchange, reason)
        exchange.hasResponseStarted = true
        val failure = exchange.takeFailure()
        exchange.responder.respond(failure ?: dialect.errorResponse(exchange.request, status, reason, retryAfter))
        return if (failure == null) reason else "answered_${failure.status}"
    }

    private fun abortResponse(
        exchange: Exchange,
        reason: String,
    ): String {
        exchange.responder.abort()
        return "${reason}_broken_off"
    }

    private suspend fun deny(
        request: ClientRequest,
        responder: HttpResponder,
        status: Int,
        reason: String,
        retryAfter: Duration? = null,
    ) {
        log.recordDenial(request, status, reason, clusterView.active.document?.version)
        responder.respond(dialect.errorResponse(request, status, reason, retryAfter))
    }

    private companion object {
        /** Reasons that the election of a leader does not change. */
        val INDEPENDENT_OF_LEADER = setOf(DispatchRefusal.EVACUATED, DispatchRefusal.LIMITED, DispatchRefusal.VERSION_GONE)

        /** Reasons that one more server may end. */
        val ENDED_BY_MORE_SERVERS =
            setOf(
                DispatchRefusal.NO_SERVER,
                DispatchRefusal.BUSY,
                DispatchRefusal.LOADING,
                DispatchRefusal.LIMITED,
                DispatchRefusal.VERSION_GONE,
            )
        val SUCCESS = 200..299
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504

        /** Attempts per request, including those that the server did not run. */
        const val MAX_ATTEMPTS = 3

        /** Share of the route's target latency for which a request may wait for a leader. */
        const val LEADERLESS_WAIT_SHARE = 0.5
        val LEADERLESS_POLL = 100.milliseconds

        /** Clients abandon a stream after a pause of two seconds. */
        val RESUME_TIMEOUT = 1500.milliseconds
        val RESUME_POLL = 50.milliseconds
        val BUSY_RETRY_AFTER = 100.milliseconds
        val STARTING_RETRY_AFTER = 500.milliseconds

        /** Largest deviation of a retry delay, as a share of it. */
        const val RETRY_SPREAD = 0.25

        /** Short, since another instance can serve the retry at once. */
        val STOPPING_RETRY_AFTER = 20.milliseconds
    }
}
