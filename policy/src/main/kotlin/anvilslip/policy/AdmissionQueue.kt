package anvilslip.policy

import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Requests of one service that wait until they can start, in the order in which they are to be tried. Deterministic: uses no threads
 * and no clock of its own. Operations take logarithmic time in the number of waiting requests, except [removeExcess], which is linear
 * in the number of workspaces.
 *
 * More urgent priorities come first. Within a priority, requests that can still meet their target come before the others, and
 * workspaces are served by weighted fair queueing over tokens. One in every [AdmissionOptions.agedInterval] placements goes to the
 * request that has waited longest.
 *
 * @param weightOf weight of a workspace for fair queueing
 */
internal class AdmissionQueue(
    private val options: AdmissionOptions,
    private val weightOf: (String) -> Double,
) {
    private val requests = HashMap<RequestKey, WaitingRequest>()
    private val levels = TreeMap<Int, PriorityQueueLevel>()
    private val byAge = TreeSet(compareBy<WaitingRequest>({ it.since }, { it.sequence }))
    private val byNextTry = TreeSet(compareBy<WaitingRequest>({ it.nextTryAt }, { it.sequence }))
    private val byAnswer = TreeSet(compareBy<WaitingRequest>({ it.answerAt }, { it.sequence }))
    private val byHold = TreeSet(compareBy<WaitingRequest>({ it.heldUntil }, { it.sequence }))
    private val byLatestStart = TreeSet(compareBy<WaitingRequest>({ it.latestStartAt }, { it.sequence }))
    private val charges = HashMap<String, Long>()
    private var lastSequence = 0L
    private var placementsSinceAged = 0

    val size: Int get() = requests.size

    /** True if a request can be tried now. */
    val hasReady: Boolean get() = byAge.isNotEmpty()

    /** True if the next placement goes to the request that has waited longest. */
    val isAgedTurn: Boolean get() = placementsSinceAged >= options.agedInterval - 1

    /** Earliest time at which a request must be tried, answered or removed; null without waiting requests. */
    val nextEventAt: Duration?
        get() =
            listOfNotNull(
                byNextTry.firstOrNull()?.nextTryAt,
                byAnswer.firstOrNull()?.answerAt,
                byHold.firstOrNull()?.heldUntil,
            ).minOrNull()

    operator fun get(key: RequestKey): WaitingRequest? = requests[key]

    /** Number of waiting requests by priority. */
    fun sizes(): Map<Int, Int> = levels.mapValues { it.value.size }

    /** True if a request of [priority] or a more urgent one waits. */
    fun hasWaiting(priority: Int): Boolean = levels.headMap(PendingTokens.index(priority), true).values.any { it.size > 0 }

    /** Work that is to be started before that of a new request of [priority] and [workspace]. */
    fun workAhead(
        priority: Int,
        workspace: String?,
    ): Double {
        val index = PendingTokens.index(priority)
        return levels
            .headMap(index)
            .values
            .sumOf { it.work }
            .toDouble() + (levels[index]?.workAhead(workspace.orEmpty()) ?: 0.0)
    }

    /** Tokens that the waiting requests of [workspace] will charge to its limit. */
    fun chargeOf(workspace: String?): Long = charges[workspace.orEmpty()] ?: 0

    /** Adds [request], which its entry instance has stated at [askedAt]. */
    fun add(
        request: DispatchRequest,
        askedAt: Duration,
        work: Int,
        prefillTime: Duration,
        now: Duration,
    ): WaitingRequest {
        val waiting = WaitingRequest(request, askedAt, askedAt, ++lastSequence, work, prefillTime)
        waiting.isLate = waiting.latestStartAt < now
        waiting.urgencyCost = urgencyCost(waiting, now)
        requests[waiting.key] = waiting
        charges.merge(waiting.workspace, request.charge, Long::plus)
        levels.getOrPut(waiting.priority) { PriorityQueueLevel(weightOf) }.add(waiting)
        if (!waiting.isLate) byLatestStart += waiting
        waiting.answerAt = askedAt + options.answerAfter
        byAnswer += waiting
        enable(waiting)
        return waiting
    }

    /** Takes out and returns the request that would be served last if there are more than the maximum, or else null. */
    fun removeExcess(): WaitingRequest? {
        if (requests.size <= options.maxWaiting) return null
        val last =
            levels
                .descendingMap()
                .values
                .firstOrNull { it.size > 0 }
                ?.last() ?: return null
        remove(last)
        return last
    }

    /** Records that the entry instance of [waiting] asks again. */
    fun resume(
        waiting: WaitingRequest,
        request: DispatchRequest,
        askedAt: Duration,
        now: Duration,
    ) {
        byHold -= waiting
        byAnswer -= waiting
        level(waiting).reorder(waiting) {
            waiting.request = request.copy(charge = waiting.request.charge)
            waiting.askedAt = askedAt
            waiting.urgencyCost = urgencyCost(waiting, now)
        }
        waiting.answerAt = askedAt + options.answerAfter
        byAnswer += waiting
        if (waiting.hasPendingCall) return
        waiting.hasPendingCall = true
        enable(waiting)
    }

    /** Keeps the place of [waiting] after it was answered by [DispatchDecision.Wait]; it is not tried until its entry instance asks again. */
    fun suspend(
        waiting: WaitingRequest,
        now: Duration,
    ) {
        disable(waiting)
        byAnswer -= waiting
        waiting.hasPendingCall = false
        waiting.heldUntil = now + options.holdPlace
        byHold += waiting
    }

    /** Excludes [waiting] from being tried until [until]. */
    fun block(
        waiting: WaitingRequest,
        until: Duration,
    ) {
        disable(waiting)
        waiting.nextTryAt = until
        byNextTry += waiting
    }

    /** Pause of [waiting] after another failed try. */
    fun pauseAfterFailure(waiting: WaitingRequest): Duration =
        minOf(options.retryPause * (1 shl waiting.failures++.coerceAtMost(MAX_DOUBLINGS)), options.maxRetryPause)

    fun remove(waiting: WaitingRequest) {
        if (requests.remove(waiting.key) == null) return
        charges.computeIfPresent(waiting.workspace) { _, charge -> (charge - waiting.request.charge).takeIf { it > 0 } }
        disable(waiting)
        byAnswer -= waiting
        byHold -= waiting
        byLatestStart -= waiting
        level(waiting).remove(waiting)
    }

    /** Removes [waiting], which is placed. */
    fun removePlaced(
        waiting: WaitingRequest,
        isAged: Boolean,
    ) {
        placementsSinceAged = if (isAged) 0 else placementsSinceAged + 1
        level(waiting).charge(waiting)
        remove(waiting)
    }

    /** Applies the time that has passed: places that are no longer held are lost, requests become late, pauses end. */
    fun advance(now: Duration) {
        while (byHold.isNotEmpty() && byHold.first().heldUntil <= now) remove(byHold.first())
        while (byLatestStart.isNotEmpty() && byLatestStart.first().latestStartAt < now) makeLate(byLatestStart.pollFirst()!!, now)
        while (byNextTry.isNotEmpty() && byNextTry.first().nextTryAt <= now) enable(byNextTry.pollFirst()!!)
    }

    /** Ends the pauses of up to [count] requests early, those first that would end first. */
    fun endPauses(count: Int) {
        repeat(minOf(count, byNextTry.size)) { enable(byNextTry.pollFirst()!!) }
    }

    /** The request to try next, or null if none can be tried now. */
    fun next(): WaitingRequest? = levels.values.firstNotNullOfOrNull { it.first() }

    /** The request that has waited longest of those that can be tried now. */
    fun oldest(): WaitingRequest? = byAge.firstOrNull()

    /** The next request whose entry instance must be answered at [now], or null. */
    fun nextToAnswer(now: Duration): WaitingRequest? = byAnswer.firstOrNull()?.takeIf { it.answerAt <= now }

    private fun makeLate(
        waiting: WaitingRequest,
        now: Duration,
    ) = level(waiting).reorder(waiting) {
        waiting.isLate = true
        waiting.urgencyCost = urgencyCost(waiting, now)
    }

    private fun urgencyCost(
        waiting: WaitingRequest,
        now: Duration,
    ): Double = waiting.work / (waiting.deadlineAt - now).toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(1.0)

    private fun enable(waiting: WaitingRequest) {
        byNextTry -= waiting
        byAge += waiting
        level(waiting).enable(waiting)
    }

    private fun disable(waiting: WaitingRequest) {
        byNextTry -= waiting
        byAge -= waiting
        level(waiting).disable(waiting)
    }

    private fun level(waiting: WaitingRequest): PriorityQueueLevel = levels.getValue(waiting.priority)

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
