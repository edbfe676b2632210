package anvilslip.policy

import anvilslip.kernel.LruMap
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Requests that one entry instance has sent, by server, and how fast each server answers them. The speed is that of this instance's own
 * answers and therefore includes the wait behind requests of other instances. Not thread-safe.
 */
public class LocalLoads {
    private class Sent(
        val server: String,
        val service: String,
        val work: Double,
        /** Work of this instance at the server when the request was sent, including its own. */
        val pendingWork: Double,
        val sentAt: Duration,
    ) {
        var isAnswering = false
    }

    private class Load {
        var running = 0
        var pendingWork = 0.0
    }

    /** Work done per millisecond. Each answer reduces the weight of the earlier ones by the factor [retained]. */
    private class Speed(
        private val retained: Double,
    ) {
        var work = 0.0
            private set
        var millis = 0.0
            private set

        fun record(
            doneWork: Double,
            doneMillis: Double,
        ) {
            work = work * retained + doneWork
            millis = millis * retained + doneMillis
        }
    }

    private val sent = HashMap<Long, Sent>()
    private val loads = HashMap<String, Load>()
    private val serviceSpeeds = HashMap<String, Speed>()
    private val serverSpeeds = LruMap<String, Speed>(MAX_SERVERS)

    /** Records that request [number] with [promptTokens] was sent to [server]. */
    public fun recordSent(
        number: Long,
        server: String,
        service: String,
        promptTokens: Int,
        now: Duration,
    ) {
        recordEnded(number)
        val work = workOf(promptTokens)
        val load = loads.getOrPut(server) { Load() }
        load.running++
        load.pendingWork += work
        sent[number] = Sent(server, service, work, load.pendingWork, now)
    }

    /** Records that the answer to request [number] has begun. */
    public fun recordAnswering(
        number: Long,
        now: Duration,
    ) {
        val request = sent[number]?.takeUnless { it.isAnswering } ?: return
        request.isAnswering = true
        loads[request.server]?.let { it.pendingWork -= request.work }
        val millis = (now - request.sentAt).toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(MIN_ANSWER_MILLIS)
        serverSpeeds.getOrPut(request.server) { Speed(SERVER_RETENTION) }.record(request.pendingWork, millis)
        serviceSpeeds.getOrPut(request.service) { Speed(SERVICE_RETENTION) }.record(request.pendingWork, millis)
    }

    /** Records that request [number] has ended, with or without an answer. */
    public fun recordEnded(number: Long) {
        val request = sent.remove(number) ?: return
        val load = loads[request.server] ?: return
        load.running--
        if (!request.isAnswering) load.pendingWork -= request.work
        if (load.running == 0) loads.remove(request.server)
    }

    /** Number of requests that this instance has sent to [server] and that have not ended. */
    public fun countRunning(server: String): Int = loads[server]?.running ?: 0

    /** Expected time in milliseconds until [server] of [service] begins to answer a request with [promptTokens]. */
    public fun expectedWaitMillis(
        server: String,
        service: String,
        promptTokens: Int,
    ): Double {
        val load = loads[server]
        val work = workOf(promptTokens)
        val answering = (load?.running ?: 0) * ANSWERING_SHARE * work
        return (work + (load?.pendingWork ?: 0.0) + answering) / speedOf(server, service)
    }

    /** The speed of the service counts like [PRIOR_MILLIS] of answers of the server. The result is limited by [MAX_SPEED_RATIO]. */
    private fun speedOf(
        server: String,
        service: String,
    ): Double {
        val mean = serviceSpeeds[service]?.let { it.work / it.millis } ?: INITIAL_SPEED
        val own = serverSpeeds[server] ?: return mean
        val estimate = (own.work + PRIOR_MILLIS * mean) / (own.millis + PRIOR_MILLIS)
        return estimate.coerceAtMost(mean * MAX_SPEED_RATIO)
    }

    /** Prompt tokens, or 1 for a request to a plain service, each of whose requests counts alike. */
    private fun workOf(promptTokens: Int): Double = promptTokens.coerceAtLeast(1).toDouble()

    private companion object {
        /** Bounds memory; the least recently used entries are evicted. */
        const val MAX_SERVERS = 512

        /** Work per millisecond before the first answer; the same for all servers, so it does not affect their order. */
        const val INITIAL_SPEED = 20.0

        /** An instance sees few answers of one server, so about the last five of them count. */
        const val SERVER_RETENTION = 0.8
        const val SERVICE_RETENTION = 0.98

        /** About the time of one answer. */
        const val PRIOR_MILLIS = 100.0
        const val MIN_ANSWER_MILLIS = 1.0

        /**
         * Upper bound on the estimated speed of a server relative to the mean of its service; a server that fails immediately looks
         * fast.
         */
        const val MAX_SPEED_RATIO = 2.5

        /** A request in progress slows the start of the next by less. */
        const val ANSWERING_SHARE = 0.1
    }
}
