package anvilslip.entry.caller

import anvilslip.control.ControlService
import anvilslip.control.TokenRefusal
import anvilslip.entry.Authenticator
import anvilslip.entry.ServiceForwarder
import anvilslip.entry.completion.AdmittedRequest
import anvilslip.entry.completion.CompletionService
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import anvilslip.entry.http.Ran
import anvilslip.entry.tokenError
import anvilslip.kernel.Clock
import anvilslip.kernel.Metrics
import anvilslip.policy.InstanceView
import anvilslip.policy.Resolver
import anvilslip.settings.RequestSettings
import anvilslip.state.Route
import anvilslip.state.ServiceClass
import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Handles requests of callers: admits them, and dispatches them to model engines and application servers. */
public class CallerHandler(
    private val self: InstanceView,
    private val dialect: CallerDialect,
    private val control: ControlService,
    private val authenticator: Authenticator,
    private val completions: CompletionService,
    private val services: ServiceForwarder,
    private val metrics: Metrics,
    private val clock: Clock,
    private val settings: RequestSettings,
) : HttpHandler {
    override suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    ) {
        metrics.inFlight.inc()
        try {
            val parsed = dialect.parseHeaders(call).flatMap { context -> dialect.parse(call).map { context to it } }
            parsed.fold(
                { responder.respond(it.toResponse(call.header("x-request-id")?.takeIf { id -> id.length <= MAX_ID })) },
                { (context, request) -> handle(context, request, responder) },
            )
        } finally {
            metrics.inFlight.dec()
        }
    }

    private suspend fun handle(
        context: CallerContext,
        request: CallerRequest,
        responder: HttpResponder,
    ) {
        when (request) {
            is CallerRequest.Health -> {
                responder.respond(
                    HttpResponse.text(if (control.isFresh) 200 else 503, if (control.isFresh) "ok\n" else "stale\n"),
                )
            }

            is CallerRequest.Resolve -> {
                responder.respond(resolve(request))
            }

            is CallerRequest.ListModels -> {
                responder.respond(listModels(context))
            }

            is CallerRequest.Complete -> {
                runCompletion(context, request, responder)
            }

            is CallerRequest.Service -> {
                responder.respond(forward(context, request))
            }
        }
    }

    private fun resolve(request: CallerRequest.Resolve): HttpResponse {
        val instances = Resolver.rank(control.view, request.zone, request.affinity)
        return dialect.resolveResponse(instances.ifEmpty { listOf(self) }, settings.resolveLifetime)
    }

    private fun listModels(context: CallerContext): HttpResponse =
        admit(context).fold({ it.toResponse(context.requestId) }) { admitted ->
            val visible =
                control.configuration.adapters.values
                    .filter { it.workspace == null || it.workspace == admitted.workspace }
            dialect.modelsResponse(visible.flatMap { adapter -> adapter.versions.map { "${adapter.name}@$it" } }.sorted())
        }

    /** Authenticates the caller and determines the service class and its wait target; the error if the request is rejected. */
    private fun admit(context: CallerContext): Either<ApiError, AdmittedRequest> {
        authenticator.readinessError()?.let { return it.left() }
        return authenticator.authenticate(context.key).flatMap { toAdmittedRequest(context, it, context.key) }
    }

    private fun toAdmittedRequest(
        context: CallerContext,
        workspace: String,
        key: String?,
    ): Either<ApiError, AdmittedRequest> {
        val requestedClass = context.serviceClass
        val configuredClass = control.configuration.classes[requestedClass ?: DEFAULT_CLASS]
        if (requestedClass != null && configuredClass == null) return ApiError(ErrorCode.UNKNOWN_CLASS, "no class '$requestedClass'").left()
        val serviceClass = configuredClass ?: ServiceClass(DEFAULT_CLASS, DEFAULT_TARGET.inWholeMilliseconds)
        val target = serviceClass.waitTargetMillis.milliseconds
        return AdmittedRequest(context.requestId, workspace, key, serviceClass.name, target, clock.elapsed()).right()
    }

    private suspend fun runCompletion(
        context: CallerContext,
        request: CallerRequest.Complete,
        responder: HttpResponder,
    ) {
        val admitted = admit(context).fold({ return reject(it, context, responder) }, { it })
        val sink =
            if (request.completion.stream) StreamingSink(admitted, request, responder) else BufferedSink(admitted, request, responder)
        val timedOut = ApiError(ErrorCode.OUTCOME_UNKNOWN, "the request took too long", Ran.OUTCOME_UNKNOWN)
        var finished = false
        val error =
            withTimeoutOrNull(settings.requestTimeout) { completions.run(admitted, request.completion, sink).also { finished = true } }
        val final = if (finished) error else timedOut
        if (final != null) sink.onError(final)
        recordOutcome(admitted.serviceClass, final)
    }

    private suspend fun reject(
        error: ApiError,
        context: CallerContext,
        responder: HttpResponder,
    ) {
        metrics.refusals.labelValues(error.code.wireName).inc()
        responder.respond(error.toResponse(context.requestId))
    }

    private fun recordOutcome(
        serviceClass: String,
        error: ApiError?,
    ) {
        metrics.requests.labelValues(serviceClass, error?.ran?.wireName ?: "answered").inc()
        error?.let { metrics.refusals.labelValues(it.code.wireName).inc() }
    }

    private suspend fun forward(
        context: CallerContext,
        request: CallerRequest.Service,
    ): HttpResponse {
        val result = authenticator.readinessError()?.left() ?: authorizeAndForward(context, request)
        val error = result.leftOrNull()
        error?.let { metrics.refusals.labelValues(it.code.wireName).inc() }
        return result.fold({ it.toResponse(context.requestId) }, { it.withRequestId(context.requestId) })
    }

    private suspend fun authorizeAndForward(
        context: CallerContext,
        request: CallerRequest.Service,
    ): Either<ApiError, HttpResponse> {
        val route =
            control.configuration.route(request.path) ?: return ApiError(ErrorCode.UNKNOWN_ROUTE, "no route for ${request.path}").left()
        val workspace = if (route.open) "".right() else authenticator.authenticate(context.key)
        val key = if (route.open) null else context.key
        return workspace
            .flatMap { toAdmittedRequest(context, it, key) }
            .flatMap { admitted -> withinTokenLimit(admitted, route) { services.run(admitted, route, request, context.idempotencyKey) } }
    }

    private suspend fun withinTokenLimit(
        admitted: AdmittedRequest,
        route: Route,
        action: suspend () -> Either<ApiError, HttpResponse>,
    ): Either<ApiError, HttpResponse> {
        if (route.open || route.tokens == 0L) return action()
        val reservation = control.reserve(admitted.workspace, route.tokens.toDouble()).fold({ return tokenError(it).left() }, { it })
        if (!control.commit(admitted.workspace, reservation)) return tokenError(TokenRefusal.LeaderUnreachable).left()
        return action()
    }

    private inner class BufferedSink(
        private val admitted: AdmittedRequest,
        private val request: CallerRequest.Complete,
        private val responder: HttpResponder,
    ) : ResponseSink {
        private val text = StringBuilder()

        override suspend fun onPart(
            version: String,
            text: String,
        ) {
            this.text.append(text)
        }

        override suspend fun onComplete(
            version: String,
            tokens: Int,
        ): Unit =
            responder.respond(
                dialect.completionResponse(admitted.requestId, request.completion, request.chat, version, text.toString(), tokens),
            )

        override suspend fun onError(error: ApiError): Unit = responder.respond(error.toResponse(admitted.requestId))
    }

    private inner class StreamingSink(
        private val admitted: AdmittedRequest,
        private val request: CallerRequest.Complete,
        private val responder: HttpResponder,
    ) : ResponseSink {
        private var started = false

        override suspend fun onPart(
            version: String,
            text: String,
        ) {
            ensureStarted()
            responder.sendPart(dialect.streamPart(admitted.requestId, request.completion, request.chat, version, text))
        }

        override suspend fun onComplete(
            version: String,
            tokens: Int,
        ) {
            ensureStarted()
            responder.sendPart(dialect.streamEnd(admitted.requestId, tokens))
            responder.endStream()
        }

        override suspend fun onError(error: ApiError) {
            if (!started) return responder.respond(error.toResponse(admitted.requestId))
            responder.sendPart(dialect.streamError(admitted.requestId, error))
            responder.endStream()
        }

        private suspend fun ensureStarted() {
            if (!started) responder.startStream(OK, dialect.streamContentType, mapOf("X-Request-Id" to admitted.requestId))
            started = true
        }
    }

    private companion object {
        const val DEFAULT_CLASS = "default"
        val DEFAULT_TARGET = 10.seconds
        const val MAX_ID = 128
        const val OK = 200
    }
}
