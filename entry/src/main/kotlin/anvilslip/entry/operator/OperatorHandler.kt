package anvilslip.entry.operator

import anvilslip.control.ControlService
import anvilslip.control.LeaderClient
import anvilslip.entry.completion.WaitTracker
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import anvilslip.entry.http.Ran
import anvilslip.kernel.Event
import anvilslip.kernel.Metrics
import anvilslip.kernel.Stamp
import anvilslip.kernel.Timeline
import anvilslip.kernel.mergeTimelines
import anvilslip.state.Command
import anvilslip.state.Outcome
import anvilslip.state.ProposeError
import anvilslip.wire.PeerMessage
import anvilslip.wire.PeerNetwork
import arrow.core.Either
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.security.MessageDigest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Handles requests of operators: configuration changes, status, timeline, quarantine and metrics. */
public class OperatorHandler(
    private val control: ControlService,
    private val leaderClient: LeaderClient,
    private val network: PeerNetwork,
    private val peers: Set<String>,
    private val timeline: Timeline,
    private val waits: WaitTracker,
    private val metrics: Metrics,
    private val token: String?,
) : HttpHandler {
    override suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    ): Unit = responder.respond(if (isPermitted(call)) dispatch(call) else notPermittedError())

    private fun isPermitted(call: HttpServerRequest): Boolean {
        val expected = token?.let { "Bearer $it".toByteArray() } ?: return true
        val presented = call.header("authorization")?.toByteArray() ?: return false
        return MessageDigest.isEqual(expected, presented)
    }

    private fun notPermittedError() = ApiError(ErrorCode.NOT_PERMITTED, "show the operator token").toResponse(null)

    private suspend fun dispatch(call: HttpServerRequest): HttpResponse =
        when ("${call.method} ${call.path}") {
            "GET /metrics" -> metrics()
            "GET /operator/v1/status" -> status()
            "GET /operator/v1/configuration" -> configuration()
            "GET /operator/v1/timeline" -> timeline(call)
            "POST /operator/v1/changes" -> change(call)
            "POST /operator/v1/pardons" -> pardon(call)
            else -> ApiError(ErrorCode.UNKNOWN_ROUTE, "unknown operation ${call.method} ${call.path}").toResponse(null)
        }

    private fun metrics(): HttpResponse {
        metrics.revision.set(control.configuration.revision.toDouble())
        return HttpResponse.text(200, metrics.scrape())
    }

    private suspend fun status(): HttpResponse {
        val reply = leaderClient.call(PeerMessage.StatusRequest, PEER_TIMEOUT).getOrNull() as? PeerMessage.StatusReply
        val status = OperatorStatus(reply?.status, control.isFresh, control.configuration.revision, waits.drifting)
        return json(OperatorStatus.serializer(), status)
    }

    /** Returns the configuration without the hashes of the API keys. */
    private fun configuration(): HttpResponse {
        val configuration = control.configuration
        return json(
            OperatorConfiguration.serializer(),
            OperatorConfiguration(
                revision = configuration.revision,
                workspaces = configuration.workspaces.values.sortedBy { it.name },
                keys =
                    configuration.keys.values
                        .map { OperatorConfiguration.Key(it.id, it.workspace) }
                        .sortedBy { it.id },
                adapters = configuration.adapters.values.sortedBy { it.name },
                classes = configuration.classes.values.sortedBy { it.name },
                routes = configuration.routes.values.sortedBy { it.path },
                draining = configuration.draining.keys.sorted(),
            ),
        )
    }

    private suspend fun timeline(call: HttpServerRequest): HttpResponse {
        val limit =
            call.query["limit"]
                ?.firstOrNull()
                ?.toIntOrNull()
                ?.coerceIn(1, MAX_EVENTS) ?: DEFAULT_EVENTS
        val sinceMillis = call.query["since_ms"]?.firstOrNull()?.toLongOrNull() ?: 0
        val request = PeerMessage.TimelineRequest(Stamp(sinceMillis, 0), limit)
        val peerEvents = coroutineScope { peers.map { peer -> async { events(peer, request) } }.awaitAll() }
        val all = mergeTimelines(peerEvents.filterNotNull() + listOf(timeline.since(request.since, limit)))
        val requestId = call.query["request_id"]?.firstOrNull()
        val selected = all.filter { requestId == null || it.requestId == requestId }.takeLast(limit)
        val missing = peers.zip(peerEvents).filter { it.second == null }.map { it.first }
        return json(OperatorTimeline.serializer(), OperatorTimeline(selected, missing))
    }

    private suspend fun events(
        peer: String,
        request: PeerMessage.TimelineRequest,
    ): List<Event>? = (network.call(peer, request, PEER_TIMEOUT).getOrNull() as? PeerMessage.TimelineReply)?.events

    private suspend fun change(call: HttpServerRequest): HttpResponse =
        parse(OperatorChange.serializer(), call).fold({ it.toResponse(null) }) { change ->
            propose(Command.Configure(change.change, change.requestId, change.expectedRevision))
        }

    private suspend fun pardon(call: HttpServerRequest): HttpResponse =
        parse(OperatorPardon.serializer(), call).fold({ it.toResponse(null) }) { propose(Command.Pardon(it.fingerprint)) }

    private suspend fun propose(command: Command): HttpResponse =
        control.propose(command).fold({ toApiError(it).toResponse(null) }, { outcomeResponse(it) })

    private fun toApiError(error: ProposeError): ApiError =
        when (error) {
            is ProposeError.NotLeader -> {
                ApiError(ErrorCode.LEADER_UNREACHABLE, "no leader took the change; it is not in force", retryAfter = RETRY_AFTER)
            }

            ProposeError.Unknown -> {
                ApiError(
                    ErrorCode.OUTCOME_UNKNOWN,
                    "the change may or may not be accepted; send it again under the same request ID",
                    Ran.OUTCOME_UNKNOWN,
                    RETRY_AFTER,
                )
            }
        }

    private fun outcomeResponse(outcome: Outcome): HttpResponse =
        when (outcome) {
            is Outcome.Configured -> {
                json(OperatorAccepted.serializer(), OperatorAccepted(outcome.revision))
            }

            is Outcome.Conflict -> {
                ApiError(
                    ErrorCode.REVISION_CONFLICT,
                    "the configuration is at revision ${outcome.revision}",
                ).toResponse(null)
            }

            is Outcome.Rejected -> {
                ApiError(ErrorCode.CHANGE_REJECTED, outcome.problems.joinToString("; ")).toResponse(null)
            }

            else -> {
                json(OperatorAccepted.serializer(), OperatorAccepted(control.configuration.revision))
            }
        }

    private fun <T> parse(
        serializer: KSerializer<T>,
        call: HttpServerRequest,
    ): Either<ApiError, T> =
        Either
            .catchOrThrow<SerializationException, T> { JSON.decodeFromString(serializer, call.body.decodeToString()) }
            .mapLeft { ApiError(ErrorCode.INVALID_BODY, it.message?.lineSequence()?.first() ?: "not JSON") }

    private fun <T> json(
        serializer: KSerializer<T>,
        value: T,
    ) = HttpResponse.json(200, JSON.encodeToString(serializer, value))

    private companion object {
        val JSON = Json { encodeDefaults = true }
        val PEER_TIMEOUT = 1.seconds
        val RETRY_AFTER = 500.milliseconds
        const val MAX_EVENTS = 10_000
        const val DEFAULT_EVENTS = 200
    }
}
