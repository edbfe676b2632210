package anvilslip.entry

import anvilslip.control.ControlService
import anvilslip.entry.completion.BackendDialect
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import anvilslip.entry.http.HttpHandler
import anvilslip.entry.http.HttpResponder
import anvilslip.entry.http.HttpResponse
import anvilslip.entry.http.HttpServerRequest
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Handles the announcements by which backend servers register and renew their registration. */
public class AnnouncementHandler(
    private val control: ControlService,
    private val dialect: BackendDialect,
) : HttpHandler {
    override suspend fun handle(
        call: HttpServerRequest,
        responder: HttpResponder,
    ): Unit = responder.respond(dispatch(call))

    private suspend fun dispatch(call: HttpServerRequest): HttpResponse {
        if (call.path != PATH || call.method != "POST") return ApiError(ErrorCode.UNKNOWN_ROUTE, "use POST $PATH").toResponse(null)
        return dialect.parseAnnouncement(call.body).fold(
            { findings -> ApiError(ErrorCode.INVALID_BODY, findings.joinToString("; ")).toResponse(null) },
            { parsed ->
                if (control.announce(parsed)) accepted() else ApiError(ErrorCode.LEADER_UNREACHABLE, "announce again").toResponse(null)
            },
        )
    }

    private fun accepted(): HttpResponse {
        val body =
            buildJsonObject {
                put("repeat_ms", REPEAT_MILLIS)
                putJsonArray("announce_to") {
                    control.view.instances
                        .filter { !it.draining }
                        .forEach { add(it.announcements) }
                }
            }
        return HttpResponse.json(200, body.toString())
    }

    private companion object {
        const val PATH = "/backend/v1/announce"
        const val REPEAT_MILLIS = 1_000
    }
}
