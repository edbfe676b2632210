package anvilslip.policy

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when the leader answers the admission call of an entry instance: at once, or after the request has waited until
 * it can start. Deterministic: uses no threads and no clock of its own.
 *
 * Requests of services with many engines wait in an [AdmissionQueue] until their deadline. With few engines, a request waits only for a
 * free adapter place, and only for a moment, because a place seldom becomes free within its target.
 */
public class AdmissionControl(
    private val dispatcher: Dispatcher,
    private val options: AdmissionOptions = AdmissionOptions(),
) {
    /** What the leader answers to the pending call about the request [key], which waited for [waited]. */
    public data class Answer(
        val key: RequestKey,
        val admission: Admission,
        val priority: Int,
        val waited: Duration,
    )

    private val queues = LinkedHashMap<String, AdmissionQueue>()
    private val answers = ArrayList<Answer>()
    private var isPassDue = false
    private var lastPassAt = -options.passInterval

    /** Number of waiting requests by priority. */
    public val waitingByPriority: Map<Int, Int>
        get() =
            queues.values
                .flatMap { it.sizes().entries }
                .groupBy({ it.key }, { it.value })
                .mapValues { it.value.sum() }

    /** Time at which [wake] must be called next, unless an event comes first; null if nothing waits. */
    public val nextWakeAt: Duration?
        get() {
            val earliest = lastPassAt + options.passInterval
            if (isPassDue || answers.isNotEmpty()) return earliest
            return queues.values
                .mapNotNull { it.nextEventAt }
                .minOrNull()
                ?.let { maxOf(it, earliest) }
        }

    /**
     * Decides on [request], which is as its entry instance stated it at [askedAt]. Returns null if it waits; [wake] then returns the answer.
     *
     * @param isReserved true if an adapter was loaded for the request, so that it does not wait behind others again
     */
    public fun ask(
        request: DispatchRequest,
        askedAt: Duration,
        now: Duration,
        isReserved: Boolean = false,
    ): Admission? {
        val queue = queues.getOrPut(request.service) { AdmissionQueue(options, dispatcher::weightOf) }
        val known = queue[RequestKey(request.entry, request.number)]
        if (known != null) {
            queue.resume(known, request, askedAt, now)
            isPassDue = true
            return null
        }
        if (isReserved || !dispatcher.isQueued(request.service) || !queue.hasWaiting(request.priority)) {
            val admission = admitNow(request, askedAt, now, isReserved)
            val refusal = admission.refusal() ?: return admission
            if (!mayWait(queue, refusal, request, askedAt, now)) return refused(queue, request.after(now - askedAt), refusal)
        }
        if (dispatcher.isQueued(request.service)) {
            val refusal = refusalBeforeWaiting(queue, request, askedAt, now)
            if (refusal != null) return refused(queue, request.after(now - askedAt), refusal)
        }
        return enqueue(queue, request, askedAt, now)
    }

    /** The refusal of a request that could not be sent before its deadline or within the limit of its workspace, or null. */
    private fun refusalBeforeWaiting(
        queue: AdmissionQueue,
        request: DispatchRequest,
        askedAt: Duration,
        now: Duration,
    ): DispatchDecision.Refuse? {
        val limitWait = dispatcher.limitWait(request, queue.chargeOf(request.workspace), now)
        val maxLimitWait = maxOf(request.targetMillis.milliseconds, request.remainingMillis.milliseconds * options.limitWaitShare)
        if (limitWait > maxLimitWait) {
            val retryMillis = (limitWait - maxLimitWait / 2).inWholeMilliseconds
            return DispatchDecision.Refuse(DispatchRefusal.OVER_LIMIT, retryMillis)
        }
        val canStart = canStartBeforeDeadline(queue, request, askedAt, now)
        return if (canStart) null else DispatchDecision.Refuse(DispatchRefusal.BUSY, 0)
    }

    /** Removes the request [key] if it waits, because its entry instance no longer asks for it. */
    public fun withdraw(key: RequestKey) {
        for (queue in queues.values) queue[key]?.let(queue::remove)
    }

    /** Records that a server may have room for a waiting request. Returns true if one may start. */
    public fun recordChange(): Boolean {
        // With few engines, requests are tried again at fixed intervals, whatever happens meanwhile.
        val affected = queues.filter { (service, queue) -> queue.size > 0 && dispatcher.isQueued(service) }.values
        if (affected.isEmpty()) return false
        affected.forEach { it.endPauses(options.triesPerPass) }
        isPassDue = true
        return true
    }

    /** Removes all waiting requests without an answer, because this instance does not lead any more. */
    public fun clear() {
        queues.clear()
        answers.clear()
        isPassDue = false
    }

    /** Tries to start waiting requests, and returns the answers that are ready. */
    public fun wake(now: Duration): List<Answer> {
        lastPassAt = now
        isPassDue = false
        for ((service, queue) in queues) {
            queue.advance(now)
            if (dispatcher.isQueued(service)) tryInOrder(queue, now) else tryAll(queue, now)
            answerWaiting(queue, now)
            if (queue.hasReady) isPassDue = true
        }
        return answers.toList().also { answers.clear() }
    }

    private fun admitNow(
        request: DispatchRequest,
        askedAt: Duration,
        now: Duration,
        isReserved: Boolean,
    ): Admission {
        val current = request.after(now - askedAt)
        if (!isReserved || !dispatcher.isQueued(request.service)) return dispatcher.admit(current, now)
        return dispatcher.admit(request, now, maxWait = current.remainingMillis.milliseconds - dispatcher.prefillTime(request))
    }

    private fun enqueue(
        queue: AdmissionQueue,
        request: DispatchRequest,
        askedAt: Duration,
        now: Duration,
    ): Admission? {
        val work = request.promptTokens + dispatcher.expectedOutput(request) * options.promptTokensPerOutputToken
        val waiting = queue.add(request, askedAt, work, dispatcher.prefillTime(request), now)
        if (dispatcher.isQueued(request.service)) {
            queue.block(waiting, now + queue.pauseAfterFailure(waiting))
        } else {
            queue.block(waiting, now + options.placeRetry)
        }
        val excess = queue.removeExcess() ?: return null
        val refusal = refused(queue, excess.requestAt(now), DispatchDecision.Refuse(DispatchRefusal.BUSY, 0))
        if (excess === waiting) return refusal
        if (excess.hasPendingCall) answer(excess, refusal, now)
        return null
    }

    private fun tryAll(
        queue: AdmissionQueue,
        now: Duration,
    ) {
        while (true) {
            val waiting = queue.next() ?: return
            val admission = dispatcher.admit(waiting.requestAt(now), now)
            val refusal = admission.refusal()
            if (refusal != null && mayWait(queue, refusal, waiting.request, waiting.askedAt, now)) {
                queue.block(waiting, now + options.placeRetry)
            } else {
                queue.remove(waiting)
                answer(waiting, admission, now)
            }
        }
    }

    private fun tryInOrder(
        queue: AdmissionQueue,
        now: Duration,
    ) {
        var agedTries = 0
        repeat(options.triesPerPass) {
            val isAged = queue.isAgedTurn && agedTries++ < AGED_TRIES_PER_PASS
            val waiting = (if (isAged) queue.oldest() else queue.next()) ?: return
            tryToStart(queue, waiting, isAged, now)
        }
    }

    private fun tryToStart(
        queue: AdmissionQueue,
        waiting: WaitingRequest,
        isAged: Boolean,
        now: Duration,
    ) {
        val admission =
            if (now > waiting.latestUsefulStartAt) {
                Admission.Decided(DispatchDecision.Refuse(DispatchRefusal.BUSY, 0))
            } else {
                admitWaiting(waiting, isAged, now)
            }
        val refusal = admission.refusal()
        if (refusal == null) {
            queue.removePlaced(waiting, isAged)
            answer(waiting, admission, now)
        } else if (refusal.reason in FINAL_REASONS || now > waiting.latestUsefulStartAt) {
            queue.remove(waiting)
            answer(waiting, refused(queue, waiting.requestAt(now), refusal), now)
        } else {
            val refill = refusal.waitMillis?.takeIf { refusal.reason in REFILL_REASONS }?.let { (it + 1).milliseconds }
            queue.block(waiting, minOf(now + (refill ?: queue.pauseAfterFailure(waiting)), waiting.latestUsefulStartAt + 1.milliseconds))
        }
    }

    /** A late request is started only where it waits little, so that it does not delay others beyond their targets. */
    private fun admitWaiting(
        waiting: WaitingRequest,
        isAged: Boolean,
        now: Duration,
    ): Admission {
        val request = waiting.requestAt(now)
        if (!isAged && !waiting.isLate) return dispatcher.admit(request, now)
        val maxWait = if (isAged) waiting.latestUsefulStartAt - now else waiting.target * options.lateWaitShare
        return dispatcher.admit(request.copy(targetMillis = waiting.target.inWholeMilliseconds), now, maxWait)
    }

    private fun answerWaiting(
        queue: AdmissionQueue,
        now: Duration,
    ) {
        while (true) {
            val waiting = queue.nextToAnswer(now) ?: return
            queue.suspend(waiting, now)
            answer(waiting, Admission.Decided(DispatchDecision.Wait), now)
        }
    }

    private fun mayWait(
        queue: AdmissionQueue,
        refusal: DispatchDecision.Refuse,
        request: DispatchRequest,
        askedAt: Duration,
        now: Duration,
    ): Boolean =
        if (dispatcher.isQueued(request.service)) {
            refusal.reason in QUEUED_REASONS && !isLimitedBeyondTarget(refusal, request) &&
                canStartBeforeDeadline(queue, request, askedAt, now)
        } else {
            refusal.reason == DispatchRefusal.LOADING && now - askedAt < options.placeTimeout
        }

    /** True if no limited server has room for [request] within its target. */
    private fun isLimitedBeyondTarget(
        refusal: DispatchDecision.Refuse,
        request: DispatchRequest,
    ): Boolean = refusal.reason == DispatchRefusal.LIMITED && refusal.retryMillis > request.targetMillis

    private fun canStartBeforeDeadline(
        queue: AdmissionQueue,
        request: DispatchRequest,
        askedAt: Duration,
        now: Duration,
    ): Boolean = now + expectedWait(queue, request) + dispatcher.prefillTime(request) <= askedAt + request.remainingMillis.milliseconds

    /** Expected time until the queue has room for another request like [request]. */
    private fun expectedWait(
        queue: AdmissionQueue,
        request: DispatchRequest,
    ): Duration =
        (queue.workAhead(request.priority, request.workspace) / dispatcher.capacity(request.service).coerceAtLeast(1.0)).milliseconds

    /**
     * The refusal of [request]. Retry delays have a jitter of 25 % either way and are at most a third of the time until the deadline.
     */
    private fun refused(
        queue: AdmissionQueue,
        request: DispatchRequest,
        refusal: DispatchDecision.Refuse,
    ): Admission {
        if (!dispatcher.isQueued(request.service)) return Admission.Decided(refusal)
        val wait = expectedWait(queue, request)
        val retry = maxOf(wait, refusal.retryMillis.milliseconds, MIN_RETRY) * jitter(request)
        val limit = request.remainingMillis.milliseconds / MAX_RETRY_DIVISOR
        val retryMillis = minOf(retry, limit).inWholeMilliseconds.coerceAtLeast(1)
        return Admission.Decided(
            refusal.copy(retryMillis = retryMillis, waitMillis = refusal.waitMillis ?: wait.inWholeMilliseconds),
        )
    }

    /** Factor of the retry delay; always the same for the same request. */
    private fun jitter(request: DispatchRequest): Double =
        Random(31L * request.entry.hashCode() + request.number).nextDouble(MIN_JITTER, MAX_JITTER)

    private fun answer(
        waiting: WaitingRequest,
        admission: Admission,
        now: Duration,
    ) {
        answers += Answer(waiting.key, admission, waiting.priority, now - waiting.since)
    }

    private fun Admission.refusal(): DispatchDecision.Refuse? = (this as? Admission.Decided)?.decision as? DispatchDecision.Refuse

    private companion object {
        val QUEUED_REASONS = setOf(DispatchRefusal.LOADING, DispatchRefusal.BUSY, DispatchRefusal.LIMITED)

        /** Reasons that pass at a known time. */
        val REFILL_REASONS = setOf(DispatchRefusal.OVER_LIMIT, DispatchRefusal.LIMITED)

        /** Reasons that do not pass while a request waits. */
        val FINAL_REASONS = setOf(DispatchRefusal.NO_SERVER, DispatchRefusal.EVACUATED, DispatchRefusal.VERSION_GONE)

        /** Requests tried out of order in one pass, of which the first may be one that cannot be placed. */
        const val AGED_TRIES_PER_PASS = 2
        const val MAX_RETRY_DIVISOR = 3
        const val MIN_JITTER = 0.75
        const val MAX_JITTER = 1.25
        val MIN_RETRY = 50.milliseconds
    }
}
