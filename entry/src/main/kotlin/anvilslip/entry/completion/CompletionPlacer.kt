package anvilslip.entry.completion

import anvilslip.control.ControlService
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import anvilslip.kernel.Clock
import anvilslip.policy.BackendView
import anvilslip.policy.PlacementDecision
import anvilslip.policy.RefusalReason
import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Chooses the server for a request: by the use leases of this instance where possible, otherwise by the leader. */
internal class CompletionPlacer(
    private val control: ControlService,
    private val clock: Clock,
) {
    /** Returns a server that may run [execution] now and holds its adapter, with a use lease taken for the request. */
    suspend fun place(execution: CompletionExecution): Either<ApiError, BackendView> {
        val isSuspect = control.suspects[execution.fingerprint] != null || execution.crashes > 0
        val local = if (isSuspect) null else placeLocally(execution)
        val name = local?.right() ?: placeByLeader(execution, if (isSuspect) execution.fingerprint else null)
        return name.flatMap { server ->
            val view = serverView(server)
            if (view == null) control.useLeases.finishRequest(server, execution.version, clock.elapsed())
            view?.right() ?: ApiError(ErrorCode.NO_BACKEND, "the server chosen is gone", retryAfter = LEADER_RETRY).left()
        }
    }

    private suspend fun serverView(server: String): BackendView? {
        fun findServer() = control.view.backends.firstOrNull { it.server == server }
        if (findServer() == null) control.poll()
        return findServer()
    }

    /** Chooses a server that has the adapter loaded under a lease of this instance and a free batch slot; null if there is none. */
    private fun placeLocally(execution: CompletionExecution): String? {
        val servers = control.view.backends.associateBy { it.server }
        return control.useLeases.startRequest(execution.version, clock.elapsed()) { server, own ->
            val view = servers[server]?.takeIf { !it.leaving && it.server !in execution.failedServers }
            val inFlight = maxOf(own, control.fleetInFlight[server] ?: 0)
            view?.let { inFlight.toDouble() / it.batch }?.takeIf { it < 1.0 }
        }
    }

    private suspend fun placeByLeader(
        execution: CompletionExecution,
        suspect: String?,
    ): Either<ApiError, String> {
        val admitted = execution.admitted
        val wait = (admitted.waitDeadline - clock.elapsed()).coerceAtLeast(Duration.ZERO)
        val decision =
            control.requestPlacement(
                admitted.workspace,
                execution.adapter.model,
                execution.version,
                wait,
                execution.tokens,
                execution.failedServers,
                suspect,
            )
        return when (decision) {
            is PlacementDecision.Placed -> {
                if (decision.stalledMillis > 0) execution.waitCause = "load"
                decision.server.right()
            }

            is PlacementDecision.Refused -> {
                placementError(execution, decision).left()
            }
        }
    }

    private fun placementError(
        execution: CompletionExecution,
        decision: PlacementDecision.Refused,
    ): ApiError {
        val retryAfter = decision.retryAfterMillis.milliseconds
        val ran = execution.ran
        val cause = decision.reason.name.lowercase()
        return when (decision.reason) {
            RefusalReason.NO_SERVER -> {
                ApiError(
                    ErrorCode.NO_BACKEND,
                    "no server runs model '${execution.adapter.model}'",
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

    companion object {
        val LEADER_RETRY = 200.milliseconds
    }
}
