package anvilslip.standin

import anvilslip.policy.DispatchRefusal
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.DurationUnit.MILLISECONDS

/** Simulates the clients of a [DispatchTrial]: generates and retries requests and records their outcomes. */
internal class TrialClients(
    private val options: DispatchTrialOptions,
    private val load: DispatchLoad,
    private val seed: Long,
    private val time: VirtualTime,
    private val send: (TrialRequest) -> Unit,
) {
    private val random = Random(seed)
    private val requests = ArrayList<TrialRequest>()
    private val cumulativePopularity =
        DoubleArray(options.adapters) { 1.0 / (it + 1.0).pow(options.skew) }.also { for (i in 1 until it.size) it[i] += it[i - 1] }

    fun start() = time.at(Duration.ZERO) { handleArrival() }

    /** Rate limit of each workspace in tokens per second. */
    fun limits(): List<Double> {
        val mean = options.kinds.sumOf { it.share * (it.sharedTokens + it.ownTokens + it.outputTokens) }
        return options.workspaces.map { it * load.requestsPerSecond * mean * options.limitFactor }
    }

    private fun handleArrival() {
        if (time.now >= load.duration) return
        val isSurge = time.now >= load.surgeFrom && time.now < load.surgeTo
        val factor = if (isSurge && !load.surgeInOneWorkspace) load.surgeFactor else 1.0
        time.at(time.now + sampleExponential(load.requestsPerSecond * factor / load.burstSize)) { handleArrival() }
        repeat(load.burstSize) { submit(sampleIndex(options.workspaces), isSurge) }
        val extra = if (isSurge && load.surgeInOneWorkspace) (load.surgeFactor - 1) * options.workspaces.first() * load.burstSize else 0.0
        repeat(extra.toInt() + if (random.nextDouble() < extra % 1) 1 else 0) { submit(0, isSurge) }
        if (isSurge) load.surgeKind?.let(::submitSurgeOf)
    }

    /** Submits what arrives of [kind] beyond its usual share. */
    private fun submitSurgeOf(kind: Int) {
        val extra = (load.surgeKindFactor - 1) * options.kinds[kind].share * load.burstSize
        val roundedUp = if (random.nextDouble() < extra % 1) 1 else 0
        val count = extra.toInt() + roundedUp
        repeat(count) { submit(sampleIndex(options.workspaces), isSurge = true, kind) }
    }

    private fun sampleExponential(rate: Double): Duration = (-ln(1 - random.nextDouble()) / rate).seconds

    private fun sampleIndex(weights: List<Double>): Int {
        var left = random.nextDouble() * weights.sum()
        return weights
            .indexOfFirst {
                left -= it
                left <= 0
            }.coerceAtLeast(0)
    }

    private fun submit(
        workspace: Int,
        isSurge: Boolean,
        ofKind: Int? = null,
    ) {
        val index = ofKind ?: sampleIndex(options.kinds.map { it.share })
        val kind = options.kinds[index]
        val isImpatient = isSurge && random.nextDouble() < load.impatientShare
        val variant = random.nextInt(kind.variants)
        val own = (kind.ownTokens * sampleExponential(1.0).toDouble(DurationUnit.SECONDS)).toInt().coerceIn(100, kind.ownTokens * 4)
        val output = (kind.outputTokens * sampleExponential(1.0).toDouble(DurationUnit.SECONDS)).toInt().coerceIn(2, kind.outputTokens * 4)
        val request =
            TrialRequest(
                arrivedAt = time.now,
                kind = index,
                workspace = workspace,
                zone = "az${random.nextInt(options.zones)}",
                adapter = sampleAdapter(isSurge && load.uniformAdapters),
                parts = listOf("k$index" to kind.sharedTokens / 2, "k$index-$variant" to kind.sharedTokens / 2, "r${requests.size}" to own),
                outputTokens = output,
                worth = kind.worth * (0.3 + 0.7 * (own + kind.sharedTokens) / (kind.ownTokens + kind.sharedTokens)),
                deadline = time.now + kind.timeout,
                retries = if (isImpatient) IMPATIENT_RETRIES else 1,
                isImpatient = isImpatient,
                priority = kind.priority,
                target = kind.target ?: options.targetLatency,
                lateShare = kind.lateShare,
                lengthHint = if (kind.hasLengthHint) sampleLengthHint(output) else null,
            )
        requests += request
        send(request)
    }

    private fun sampleLengthHint(outputTokens: Int): Int {
        val exponent = HINT_SPREAD * (random.nextDouble() * 2 - 1)
        return (outputTokens * exp(exponent)).toInt().coerceAtLeast(1)
    }

    private fun sampleAdapter(uniform: Boolean): String? {
        if (random.nextDouble() >= ADAPTER_SHARE) return null
        if (uniform) return "a${random.nextInt(options.adapters)}"
        val drawn = cumulativePopularity.binarySearch(random.nextDouble() * cumulativePopularity.last())
        return "a${if (drawn >= 0) drawn else -drawn - 1}"
    }

    fun handleRefusal(
        request: TrialRequest,
        reason: DispatchRefusal,
        retryAfter: Duration,
    ) {
        if (reason == DispatchRefusal.OVER_LIMIT) request.isOverLimit = true
        request.refusals++
        request.lastRefusal = reason
        val left = request.deadline - time.now
        val pause = if (request.isImpatient) IMPATIENT_PAUSE else minOf(retryAfter, left / 3)
        if (request.refusals <= request.retries && left.isPositive()) time.at(time.now + pause) { send(request) }
    }

    fun recordAnswer(
        request: TrialRequest,
        at: Duration,
    ) {
        request.answeredAt = request.answeredAt ?: at
    }

    private fun earnedWorth(request: TrialRequest): Double {
        val at = request.answeredAt ?: return 0.0
        return if (at - request.arrivedAt <= request.target) request.worth else request.worth * request.lateShare
    }

    fun result(
        fetches: Int,
        prefilledTokens: Long,
    ): DispatchTrialResult {
        val withinLimit = requests.filter { !it.isOverLimit || it.answeredAt != null }
        val windows =
            withinLimit
                .groupBy { (it.arrivedAt / WINDOW).toInt() }
                .toSortedMap()
                .values
                .filter { it.size >= MIN_WINDOW }
        val answered = withinLimit.filter { it.answeredAt != null }
        return DispatchTrialResult(
            load = load.name,
            seed = seed,
            requests = requests.size,
            worth = worth(withinLimit),
            worstWorth = windows.minOf(::worth),
            late = answered.count { earnedWorth(it) < it.worth }.toDouble() / withinLimit.size,
            refused = withinLimit.count { it.refusals > 0 }.toDouble() / withinLimit.size,
            unserved = 1 - answered.size.toDouble() / withinLimit.size,
            servedByWorkspace =
                withinLimit
                    .groupBy { it.workspace }
                    .toSortedMap()
                    .values
                    .map(::servedShare),
            worstKind = withinLimit.groupBy { it.kind }.values.minOf(::servedShare),
            fetches = fetches * PERCENT / requests.size,
            worthOfAll = worth(requests),
            byPriority = requests.groupBy { it.priority }.toSortedMap().mapValues { (_, of) -> priorityResult(of) },
            unservedBySecond = windows.map { 1 - servedShare(it) },
            adapterStarvation = AdapterStarvation.of(withinLimit, answered.size.toDouble() / withinLimit.size),
            readShare = prefilledTokens.toDouble() / answered.sumOf { it.promptTokens },
            meanWait =
                answered
                    .mapNotNull { request ->
                        request.answeredAt?.minus(request.arrivedAt)
                    }.map { it.toDouble(MILLISECONDS) }
                    .average(),
        )
    }

    private fun worth(of: List<TrialRequest>): Double = of.sumOf(::earnedWorth) / of.sumOf { it.worth }

    private fun priorityResult(of: List<TrialRequest>): TrialPriorityResult {
        val late = of.count { it.answeredAt != null && earnedWorth(it) < it.worth }.toDouble() / of.size
        val refusals = of.sumOf { it.refusals }.toDouble() / of.size
        return TrialPriorityResult(worth(of), servedShare(of) - late, late, 1 - servedShare(of), refusals)
    }

    private fun servedShare(of: List<TrialRequest>): Double = of.count { it.answeredAt != null }.toDouble() / of.size

    private companion object {
        const val ADAPTER_SHARE = 0.95
        const val PERCENT = 100.0
        const val IMPATIENT_RETRIES = 3
        val IMPATIENT_PAUSE = 20.milliseconds

        /** Hints are off by up to this power of e in either direction. */
        const val HINT_SPREAD = 1.5
        val WINDOW = 2.seconds
        const val MIN_WINDOW = 10
    }
}
