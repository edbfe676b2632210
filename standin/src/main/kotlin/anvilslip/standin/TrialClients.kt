package anvilslip.standin

import anvilslip.policy.DispatchRefusal
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The clients of a [DispatchTrial]: what they send, when they come back, and what became of it. */
internal class TrialClients(
    private val options: DispatchTrialOptions,
    private val load: DispatchLoad,
    private val seed: Long,
    private val time: VirtualTime,
    private val send: (TrialRequest) -> Unit,
) {
    /** A kind of request: its share of all, its shared prompt parts and its size. */
    private class Kind(
        val share: Double,
        val themes: Int,
        val sharedTokens: Int,
        val ownTokens: Int,
        val outputTokens: Int,
        val worth: Double,
        val patience: Duration,
    )

    private val random = Random(seed)
    private val requests = ArrayList<TrialRequest>()
    private val popularity =
        DoubleArray(options.adapters) { 1.0 / (it + 1.0).pow(options.skew) }.also { for (i in 1 until it.size) it[i] += it[i - 1] }

    fun start() = time.at(Duration.ZERO) { arrive() }

    /** Tokens a second that each workspace may use. */
    fun limits(): List<Double> {
        val mean = KINDS.sumOf { it.share * (it.sharedTokens + it.ownTokens + it.outputTokens) }
        return options.workspaces.map { it * load.requestsPerSecond * mean * options.limitFactor }
    }

    private fun arrive() {
        if (time.now >= load.duration) return
        val surging = time.now >= load.surgeFrom && time.now < load.surgeTo
        val factor = if (surging && !load.surgeOfOne) load.surge else 1.0
        time.at(time.now + exponential(load.requestsPerSecond * factor / load.clump)) { arrive() }
        repeat(load.clump) { submit(draw(options.workspaces), surging) }
        val extra = if (surging && load.surgeOfOne) (load.surge - 1) * options.workspaces.first() * load.clump else 0.0
        repeat(extra.toInt() + if (random.nextDouble() < extra % 1) 1 else 0) { submit(0, surging) }
    }

    private fun exponential(rate: Double): Duration = (-ln(1 - random.nextDouble()) / rate).seconds

    private fun draw(weights: List<Double>): Int {
        var left = random.nextDouble() * weights.sum()
        return weights
            .indexOfFirst {
                left -= it
                left <= 0
            }.coerceAtLeast(0)
    }

    private fun submit(
        workspace: Int,
        surging: Boolean,
    ) {
        val index = draw(KINDS.map { it.share })
        val kind = KINDS[index]
        val impatient = surging && random.nextDouble() < load.impatient
        val theme = random.nextInt(kind.themes)
        val own = (kind.ownTokens * exponential(1.0).toDouble(DurationUnit.SECONDS)).toInt().coerceIn(100, kind.ownTokens * 4)
        val output = (kind.outputTokens * exponential(1.0).toDouble(DurationUnit.SECONDS)).toInt().coerceIn(2, kind.outputTokens * 4)
        val request =
            TrialRequest(
                arrivedAt = time.now,
                kind = index,
                workspace = workspace,
                zone = "az${random.nextInt(options.zones)}",
                adapter = adapter(surging && load.rareAdapters),
                parts = listOf("k$index" to kind.sharedTokens / 2, "k$index-$theme" to kind.sharedTokens / 2, "r${requests.size}" to own),
                outputTokens = output,
                worth = kind.worth * (0.3 + 0.7 * (own + kind.sharedTokens) / (kind.ownTokens + kind.sharedTokens)),
                deadline = time.now + kind.patience,
                retries = if (impatient) IMPATIENT_RETRIES else 1,
                isImpatient = impatient,
            )
        requests += request
        send(request)
    }

    private fun adapter(rare: Boolean): String? {
        if (random.nextDouble() >= ADAPTER_SHARE) return null
        if (rare) return "a${random.nextInt(options.adapters)}"
        val drawn = popularity.binarySearch(random.nextDouble() * popularity.last())
        return "a${if (drawn >= 0) drawn else -drawn - 1}"
    }

    fun refused(
        request: TrialRequest,
        reason: DispatchRefusal,
        retryAfter: Duration,
    ) {
        if (reason == DispatchRefusal.OVER_LIMIT) request.isOverLimit = true
        request.refusals++
        val left = request.deadline - time.now
        val pause = if (request.isImpatient) IMPATIENT_PAUSE else minOf(retryAfter, left / 3)
        if (request.refusals <= request.retries && left.isPositive()) time.at(time.now + pause) { send(request) }
    }

    fun answered(
        request: TrialRequest,
        at: Duration,
    ) {
        request.answeredAt = request.answeredAt ?: at
    }

    private fun earned(request: TrialRequest): Double {
        val at = request.answeredAt ?: return 0.0
        return if (at - request.arrivedAt <= options.target) request.worth else request.worth * LATE_SHARE
    }

    fun result(
        fetches: Int,
        tokensRead: Long,
    ): DispatchTrialResult {
        val owed = requests.filter { !it.isOverLimit || it.answeredAt != null }
        val windows = owed.groupBy { (it.arrivedAt / WINDOW).toInt() }.values.filter { it.size >= MIN_WINDOW }
        val answered = owed.filter { it.answeredAt != null }
        return DispatchTrialResult(
            load = load.name,
            seed = seed,
            requests = requests.size,
            worth = worth(owed),
            worstWorth = windows.minOf(::worth),
            late = answered.count { earned(it) < it.worth }.toDouble() / owed.size,
            refused = owed.count { it.refusals > 0 }.toDouble() / owed.size,
            unserved = 1 - answered.size.toDouble() / owed.size,
            servedByWorkspace =
                owed
                    .groupBy { it.workspace }
                    .toSortedMap()
                    .values
                    .map(::served),
            worstKind = owed.groupBy { it.kind }.values.minOf(::served),
            fetches = fetches * PERCENT / requests.size,
            readShare = tokensRead.toDouble() / answered.sumOf { it.promptTokens },
        )
    }

    private fun worth(of: List<TrialRequest>): Double = of.sumOf(::earned) / of.sumOf { it.worth }

    private fun served(of: List<TrialRequest>): Double = of.count { it.answeredAt != null }.toDouble() / of.size

    private companion object {
        val KINDS =
            listOf(
                Kind(0.70, themes = 69, sharedTokens = 568, ownTokens = 1_800, outputTokens = 22, worth = 2.3, patience = 5.seconds),
                Kind(0.10, themes = 2, sharedTokens = 568, ownTokens = 1_800, outputTokens = 22, worth = 2.3, patience = 8.seconds),
                Kind(0.20, themes = 13, sharedTokens = 350, ownTokens = 1_110, outputTokens = 172, worth = 3.0, patience = 15.seconds),
            )
        const val ADAPTER_SHARE = 0.95
        const val LATE_SHARE = 0.3
        const val PERCENT = 100.0
        const val IMPATIENT_RETRIES = 3
        val IMPATIENT_PAUSE = 20.milliseconds
        val WINDOW = 2.seconds
        const val MIN_WINDOW = 10
    }
}
