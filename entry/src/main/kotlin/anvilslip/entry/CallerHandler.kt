package anvilslip.entry

import anvilslip.control.ControlService
import anvilslip.control.TokenRefusal
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

/** Serves callers. */
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
            val read = dialect.context(call).flatMap { context -> dialect.parse(call).map { context to it } }
            read.fold(
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
                complete(context, request, responder)
            }

            is CallerRequest.Service -> {
                responder.respond(service(context, request))
            }
        }
    }

    private fun resolve(request: CallerRequest.Resolve): HttpResponse {
        val instances = Resolver.rank(control.view, request.zone, request.affinity)
        return dialect.resolved(instances.ifEmpty { listOf(self) }, settings.resolveLifetime)
    }

    private fun listModels(context: CallerContext): HttpResponse =
        admitted(context).fold({ it.toResponse(context.requestId) }) { scope ->
            val usable =
                control.configuration.adapters.values
                    .filter { it.workspace == null || it.workspace == scope.workspace }
            dialect.models(usable.flatMap { adapter -> adapter.versions.map { "${adapter.name}@$it" } }.sorted())
        }

    /** Whose request it is and how long it may wait, or why it is not let in. */
    private fun admitted(context: CallerContext): Either<ApiError, AdmittedRequest> {
        authenticator.ready()?.let { return it.left() }
        return authenticator.workspace(context.key).flatMap { scope(context, it, context.key) }
    }

    private fun scope(
        context: CallerContext,
        workspace: String,
        key: String?,
    ): Either<ApiError, AdmittedRequest> {
        val named = context.serviceClass
        val known = control.configuration.classes[named ?: DEFAULT_CLASS]
        if (named != null && known == null) return ApiError(ErrorCode.UNKNOWN_CLASS, "no class '$named'").left()
        val serviceClass = known ?: ServiceClass(DEFAULT_CLASS, DEFAULT_TARGET.inWholeMilliseconds)
        val target = serviceClass.waitTargetMillis.milliseconds
        return AdmittedRequest(context.requestId, workspace, key, serviceClass.name, target, clock.elapsed()).right()
    }

    private suspend fun complete(
        context: CallerContext,
        request: CallerRequest.Complete,
        responder: HttpResponder,
    ) {
        val scope = admitted(context).fold({ return refuse(it, context, responder) }, { it })
        val sink = if (request.completion.stream) StreamSink(scope, request, responder) else WholeSink(scope, request, responder)
        val timedOut = ApiError(ErrorCode.OUTCOME_UNKNOWN, "the request took too long", Ran.OUTCOME_UNKNOWN)
        var finished = false
        val error = withTimeoutOrNull(settings.requestTimeout) { completions.run(scope, request.completion, sink).also { finished = true } }
        val final = if (finished) error else timedOut
        if (final != null) sink.onError(final)
        count(scope.serviceClass, final)
    }

    private suspend fun refuse(
        error: ApiError,
        context: CallerContext,
        responder: HttpResponder,
    ) {
        metrics.refusals.labelValues(error.code.wireName).inc()
        responder.respond(error.toResponse(context.requestId))
    }

    private fun count(
        serviceClass: String,
        error: ApiError?,
    ) {
        metrics.requests.labelValues(serviceClass, error?.ran?.wireName ?: "answered").inc()
        error?.let { metrics.refusals.labelValues(it.code.wireName).inc() }
    }

    private suspend fun service(
        context: CallerContext,
        request: CallerRequest.Service,
    ): HttpResponse {
        val result = authenticator.ready()?.left() ?: routed(context, request)
        val error = result.leftOrNull()
        error?.let { metrics.refusals.labelValues(it.code.wireName).inc() }
        return result.fold({ it.toResponse(context.requestId) }, { it.withRequestId(context.requestId) })
    }

    private suspend fun routed(
        context: CallerContext,
        request: CallerRequest.Service,
    ): Either<ApiError, HttpResponse> {
        val route =
            control.configuration.route(request.path) ?: return ApiError(ErrorCode.UNKNOWN_ROUTE, "no route for ${request.path}").left()
        val workspace = if (route.open) "".right() else authenticator.workspace(context.key)
        val key = if (route.open) null else context.key
        return workspace
            .flatMap { scope(context, it, key) }
            .flatMap { scope -> limited(scope, route) { services.run(scope, route, request, context.idempotencyKey) } }
    }

    private suspend fun limited(
        scope: AdmittedRequest,
        route: Route,
        action: suspend () -> Either<ApiError, HttpResponse>,
    ): Either<ApiError, HttpResponse> {
        if (route.open || route.tokens == 0L) return action()
        val reservation = control.reserve(scope.workspace, route.tokens.toDouble()).fold({ return tokenError(it).left() }, { it })
        if (!control.commit(scope.workspace, reservation)) return tokenError(TokenRefusal.LeaderUnreachable).left()
        return action()
    }

    private inner class WholeSink(
        private val scope: AdmittedRequest,
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
        ): Unit = responder.respond(dialect.completion(scope.requestId, request.completion, request.chat, version, text.toString(), tokens))

        override suspend fun onError(error: ApiError): Unit = responder.respond(error.toResponse(scope.requestId))
    }

    private inner class StreamSink(
        private val scope: AdmittedRequest,
        private val request: CallerRequest.Complete,
        private val responder: HttpResponder,
    ) : ResponseSink {
        private var begun = false

        override suspend fun onPart(
            version: String,
            text: String,
        ) {
            begin()
            responder.sendPart(dialect.streamPart(scope.requestId, request.completion, request.chat, version, text))
        }

        override suspend fun onComplete(
            version: String,
            tokens: Int,
        ) {
            begin()
            responder.sendPart(dialect.streamEnd(scope.requestId, tokens))
            responder.endStream()
        }

        override suspend fun onError(error: ApiError) {
            if (!begun) return responder.respond(error.toResponse(scope.requestId))
            responder.sendPart(dialect.streamError(scope.requestId, error))
            responder.endStream()
        }

        private suspend fun begin() {
            if (!begun) responder.startStream(OK, dialect.streamContentType, mapOf("X-Request-Id" to scope.requestId))
            begun = true
        }
    }

    private companion object {
        const val DEFAULT_CLASS = "default"
        val DEFAULT_TARGET = 10.seconds
        const val MAX_ID = 128
        const val OK = 200
    }
}
