package anvilslip.gateway

import anvilslip.entry.HttpCall
import anvilslip.entry.HttpHandler
import anvilslip.entry.HttpResponder
import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.policy.RetryBudget
import anvilslip.policy.RunningRequest
import anvilslip.policy.ServeDecision
import anvilslip.policy.ServeDemand
import anvilslip.policy.ServeRefusal
import anvilslip.policy.ServeStep
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

/** Serves the requests of clients: finds the route and the workspace, has them admitted, sends them on and answers. */
internal class Forwarder(
    private val self: ForwarderIdentity,
    private val dialect: RequestDialect,
    private val clusterView: ClusterView,
    private val admit: suspend (ServeDemand) -> AdmissionClient.Result,
    private val local: LocalDispatch,
    private val progress: ProgressReporter,
    private val sender: RequestSender,
    private val metrics: GatewayMetrics,
    private val clock: Clock,
    private val retryBudget: () -> RetryBudget,
) : HttpHandler {
    private val log = EventLogger("request")
    private val numbers = AtomicLong()
    private val budgets = ConcurrentHashMap<String, RetryBudget>()

    /** True once requests are refused, since this instance is about to stop. */
    @Volatile
    var isRefusing: Boolean = false

    override suspend fun handle(
        call: HttpCall,
        responder: HttpResponder,
    ) {
        val startedAt = clock.elapsed()
        val request = dialect.decode(call)
        val configuration = clusterView.active.configuration
        if (isRefusing) return refuse(request, responder, UNAVAILABLE, "stopping", STOPPING_RETRY)
        if (configuration == null) return refuse(request, responder, UNAVAILABLE, "not ready", STARTING_RETRY)
        val route = configuration.route(request.host, call.path) ?: return refuse(request, responder, NOT_FOUND, "no route")
        val workspace = request.apiKey?.let(configuration::workspaceOf)
        if (workspace == null && !route.isPublic && configuration.needsKeys) return refuse(request, responder, UNAUTHORIZED, "unknown key")
        forward(exchange(request, route, workspace.takeUnless { route.isPublic }, configuration, responder, startedAt))
    }

    private fun exchange(
        request: ClientRequest,
        route: ServingRoute,
        workspace: ServingWorkspace?,
        configuration: ServingConfiguration,
        responder: HttpResponder,
        startedAt: Duration,
    ): Exchange {
        val patience = minOf(request.timeout ?: route.timeout, route.timeout)
        return Exchange(
            request = request,
            route = route,
            service = route.service(Random.nextDouble()),
            workspace = workspace,
            configurationVersion = configuration.version,
            responder = responder,
            startedAt = startedAt,
            deadline = startedAt + patience,
        )
    }

    private suspend fun forward(exchange: Exchange) {
        budget(exchange.service).let { synchronized(it) { it.request(clock.elapsed()) } }
        var outcome = "client_left"
        try {
            val finished = withTimeoutOrNull(exchange.deadline - clock.elapsed()) { serve(exchange) }
            outcome = finished ?: expire(exchange)
        } finally {
            note(exchange, outcome)
        }
    }

    /** Tries servers until the client has its answer; returns what became of the request. */
    private suspend fun serve(exchange: Exchange): String {
        while (true) {
            val number = numbers.incrementAndGet()
            val admitted = admit(demand(exchange, number))
            exchange.lastTerm = admitted.term
            val decision = admitted.decision
            if (decision is ServeDecision.Refuse) {
                if (mayWait(exchange, decision, admitted.term)) continue
                return refused(exchange, decision)
            }
            decision as ServeDecision.Send
            exchange.isCharged = true
            exchange.lastServer = decision.server
            progress.recordSent(number) { describe(exchange, number, decision.server) }
            val result =
                try {
                    if (decision.holdMillis > 0) delay(decision.holdMillis)
                    exchange.sendings++
                    sender.send(exchange, Attempt(number, decision))
                } finally {
                    progress.recordStep(number, ServeStep.ENDED)
                }
            conclude(exchange, decision, result)?.let { return it }
        }
    }

    /**
     * Waits a little while there is no leader, since one is elected within about a second, and when an answer has begun, since a
     * client that sees a pause is better off than one whose answer is broken off.
     */
    private suspend fun mayWait(
        exchange: Exchange,
        refusal: ServeDecision.Refuse,
        term: Long?,
    ): Boolean {
        val now = clock.elapsed()
        val brokenAt = exchange.brokenAt
        if (exchange.hasBegun && brokenAt != null) {
            if (now - brokenAt > RESUME_PATIENCE) return false
            delay(RESUME_POLL)
            return true
        }
        val waited = now - exchange.startedAt
        if (term != null || refusal.reason == ServeRefusal.OVER_LIMIT ||
            waited > exchange.route.target * LEADERLESS_WAIT_SHARE
        ) {
            return false
        }
        delay(LEADERLESS_POLL)
        return true
    }

    /** What became of the request, or null when it is to be sent again. */
    private suspend fun conclude(
        exchange: Exchange,
        decision: ServeDecision.Send,
        result: AttemptResult,
    ): String? {
        when (result) {
            is AttemptResult.Delivered -> {
                noteHolder(exchange, decision.server)
                return "answered_${result.status}"
            }

            is AttemptResult.NotRun -> {
                log.info("not_run", "request_id" to exchange.request.attemptId, "server" to decision.server, "reason" to result.reason)
                exchange.isCharged = exchange.runs > 0
                exchange.excluded += decision.server
                if (exchange.sendings < MAX_SENDINGS && mayRepeat(exchange)) return null
                return fail(exchange, if (exchange.runs == 0) UNAVAILABLE else BAD_GATEWAY, "server_busy", BUSY_RETRY)
            }

            is AttemptResult.Failed -> {
                exchange.runs++
                exchange.excluded += decision.server
                if (canRunAgain(exchange) && mayRepeat(exchange)) return null
                if (exchange.hasBegun) return breakOff(exchange, "failed_${result.answer.status}")
                exchange.hasBegun = true
                exchange.responder.answer(result.answer)
                return "answered_${result.answer.status}"
            }

            is AttemptResult.Broken -> {
                log.info("broken", "request_id" to exchange.request.attemptId, "server" to decision.server, "reason" to result.reason)
                exchange.runs++
                exchange.brokenAt = clock.elapsed()
                exchange.excluded += decision.server
                if (canRunAgain(exchange) && mayRepeat(exchange)) return null
                return fail(exchange, BAD_GATEWAY, "broken", null)
            }
        }
    }

    private fun canRunAgain(exchange: Exchange): Boolean = exchange.route.isRepeatable && exchange.runs < exchange.route.maxAttempts

    private fun mayRepeat(exchange: Exchange): Boolean {
        val budget = budget(exchange.service)
        return synchronized(budget) { budget.retry(clock.elapsed()) }
    }

    private fun budget(service: String): RetryBudget = budgets.computeIfAbsent(service) { retryBudget() }

    private fun demand(
        exchange: Exchange,
        number: Long,
    ): ServeDemand {
        val request = exchange.request
        val now = clock.elapsed()
        return ServeDemand(
            entry = self.host,
            number = number,
            service = exchange.service,
            workspace = exchange.workspace?.name,
            charge = if (exchange.isCharged) 0 else exchange.workspace?.charge(request.totalTokens) ?: 0,
            zone = self.zone,
            targetMillis = (exchange.startedAt + exchange.route.target - now).inWholeMilliseconds,
            leftMillis = (exchange.deadline - now).inWholeMilliseconds,
            model = request.model,
            adapter = request.adapter,
            promptTokens = request.promptTokens,
            exclude = exchange.excluded.toSet(),
        )
    }

    private fun describe(
        exchange: Exchange,
        number: Long,
        server: String,
    ): RunningRequest {
        val request = exchange.request
        val unread = if (exchange.hasBegun) 0 else request.promptTokens
        val left = (exchange.deadline - clock.elapsed()).inWholeMilliseconds
        return RunningRequest(number, server, request.model, request.adapter, unread, left)
    }

    private fun noteHolder(
        exchange: Exchange,
        server: String,
    ) {
        val request = exchange.request
        if (request.model != null && request.adapter != null) local.recordHolder(server, AdapterName(request.model, request.adapter))
    }

    private suspend fun refused(
        exchange: Exchange,
        refusal: ServeDecision.Refuse,
    ): String {
        log.info(
            "refused",
            "request_id" to exchange.request.attemptId,
            "reason" to refusal.reason.name.lowercase(),
            "term" to (exchange.lastTerm ?: "none"),
            "servers" to refusal.servers,
            "wait_ms" to refusal.waitMillis,
            "target_ms" to exchange.route.target.inWholeMilliseconds,
            "retry_ms" to refusal.retryMillis,
            "configuration" to exchange.configurationVersion,
        )
        val status = if (refusal.reason == ServeRefusal.OVER_LIMIT) TOO_MANY_REQUESTS else UNAVAILABLE
        val reason = "refused_${refusal.reason.name.lowercase()}"
        return fail(exchange, if (exchange.runs == 0) status else BAD_GATEWAY, reason, refusal.retryMillis.milliseconds)
    }

    /** Ends a request that nobody waits for any more, or whose time on this route is over. */
    private suspend fun expire(exchange: Exchange): String =
        fail(exchange, if (exchange.sendings == 0) UNAVAILABLE else GATEWAY_TIMEOUT, "timed_out", null)

    private suspend fun fail(
        exchange: Exchange,
        status: Int,
        reason: String,
        retryAfter: Duration?,
    ): String {
        if (exchange.hasBegun) return breakOff(exchange, reason)
        exchange.hasBegun = true
        exchange.responder.answer(dialect.errorAnswer(exchange.request, status, reason, retryAfter))
        return reason
    }

    private fun breakOff(
        exchange: Exchange,
        reason: String,
    ): String {
        exchange.responder.abort()
        return "${reason}_broken_off"
    }

    private suspend fun refuse(
        request: ClientRequest,
        responder: HttpResponder,
        status: Int,
        reason: String,
        retryAfter: Duration? = null,
    ) {
        metrics.outcomes.labelValues(NO_ROUTE, reason).inc()
        log.info(
            "refused",
            "request_id" to request.attemptId,
            "status" to status,
            "reason" to reason,
            "configuration" to clusterView.active.document?.version,
        )
        responder.answer(dialect.errorAnswer(request, status, reason, retryAfter))
    }

    private fun note(
        exchange: Exchange,
        outcome: String,
    ) {
        val took = clock.elapsed() - exchange.startedAt
        metrics.outcomes
            .labelValues(
                exchange.route.kind.name
                    .lowercase(),
                outcome,
            ).inc()
        metrics.duration
            .labelValues(
                exchange.route.kind.name
                    .lowercase(),
            ).observe(took.inWholeMilliseconds / MILLIS_PER_SECOND)
        log.info(
            "finished",
            "request_id" to exchange.request.attemptId,
            "route" to exchange.route.name,
            "service" to exchange.service,
            "workspace" to exchange.workspace?.name,
            "adapter" to exchange.request.adapter,
            "server" to exchange.lastServer,
            "sendings" to exchange.sendings,
            "configuration" to exchange.configurationVersion,
            "term" to (exchange.lastTerm ?: "none"),
            "took_ms" to took.inWholeMilliseconds,
            "outcome" to outcome,
        )
    }

    private companion object {
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        const val MAX_SENDINGS = 3
        const val NO_ROUTE = "none"
        const val MILLIS_PER_SECOND = 1000.0

        /** Share of a request's target that it may wait for a leader. */
        const val LEADERLESS_WAIT_SHARE = 0.5
        val LEADERLESS_POLL = 100.milliseconds

        /** Clients give a stream up after a pause of two seconds. */
        val RESUME_PATIENCE = 1500.milliseconds
        val RESUME_POLL = 50.milliseconds
        val BUSY_RETRY = 100.milliseconds
        val STARTING_RETRY = 500.milliseconds

        /** Other instances can take it at once. */
        val STOPPING_RETRY = 20.milliseconds
    }
}
