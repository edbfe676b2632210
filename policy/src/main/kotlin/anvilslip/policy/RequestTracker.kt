package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The requests that were sent to servers and have not ended, counted at their servers and adapters. */
internal class RequestTracker(
    private val fleet: DispatchFleet,
    private val limits: WorkspaceLimits,
    private val options: DispatchOptions,
) {
    private class Ticket(
        val server: String,
        val adapter: String?,
        val workspace: String?,
        val charge: Long,
        var unread: Int,
        val memory: Int,
        val sentAt: Duration,
        val expires: Duration,
    )

    private val tickets = HashMap<Pair<String, Long>, Ticket>()

    val size: Int get() = tickets.size

    /** [request] is sent to [server]. */
    fun sent(
        request: DispatchRequest,
        server: DispatchServer,
        now: Duration,
    ) {
        val expires = now + request.remainingMillis.milliseconds + TICKET_MARGIN
        val prompt = request.promptTokens
        val ticket = Ticket(server.report.id, request.adapter, request.workspace, request.charge, prompt, prompt, now, expires)
        take(request.entry to request.number, server, ticket, now)
    }

    /** Takes over the requests that [entry] has running. */
    fun restoreRequests(
        entry: String,
        running: List<RunningRequest>,
        now: Duration,
    ) {
        for (request in running) {
            val server = fleet[request.server] ?: continue
            val key = entry to request.number
            if (key in tickets) continue
            val expires = now + request.remainingMillis.milliseconds + TICKET_MARGIN
            val prompt = request.promptTokens
            take(key, server, Ticket(request.server, request.adapter, null, 0, prompt, prompt, now, expires), now)
        }
    }

    /** Drops requests that must have ended. */
    fun expire(now: Duration) {
        for ((key, ticket) in tickets.filterValues { now >= it.expires }) end(key, ticket)
    }

    /** Takes in what became of a request of [entry]. */
    fun step(
        entry: String,
        event: RequestEvent,
        now: Duration,
    ) {
        val key = entry to event.number
        val ticket = tickets[key] ?: return
        val server = fleet[ticket.server]
        when (event.step) {
            RequestStep.ANSWERING -> {
                server?.let { observe(it, ticket, now) }
                read(ticket)
            }

            RequestStep.ENDED -> {
                end(key, ticket)
            }

            RequestStep.NOT_RUN, RequestStep.NOT_HELD, RequestStep.UNREACHABLE -> {
                end(key, ticket)
                limits.refund(ticket.workspace, ticket.charge)
                if (event.step == RequestStep.UNREACHABLE) server?.avoidedUntil = now + options.unreachablePause
                if (event.step == RequestStep.NOT_HELD) server?.orders = null
            }
        }
    }

    private fun observe(
        server: DispatchServer,
        ticket: Ticket,
        now: Duration,
    ) {
        val from = maxOf(ticket.sentAt, server.lastAnswer)
        server.lastAnswer = now
        if (ticket.unread > 0 && now > from) fleet.speed(server.report.service).observe(ticket.unread, now - from)
    }

    private fun take(
        key: Pair<String, Long>,
        server: DispatchServer,
        ticket: Ticket,
        now: Duration,
    ) {
        tickets[key]?.let { end(key, it) }
        tickets[key] = ticket
        server.running++
        server.unread += ticket.unread
        server.memory += ticket.memory
        val place = ticket.adapter?.let { server.places[it] } ?: return
        place.inUse++
        place.lastUse = now
    }

    private fun read(ticket: Ticket) {
        fleet[ticket.server]?.let { it.unread -= ticket.unread }
        ticket.unread = 0
    }

    private fun end(
        key: Pair<String, Long>,
        ticket: Ticket,
    ) {
        read(ticket)
        tickets.remove(key)
        val server = fleet[ticket.server] ?: return
        server.running--
        server.memory -= ticket.memory
        ticket.adapter?.let { server.places[it] }?.let { it.inUse-- }
    }

    private companion object {
        /** Events of a request may come this much after its deadline. */
        val TICKET_MARGIN = 1.seconds
    }
}
