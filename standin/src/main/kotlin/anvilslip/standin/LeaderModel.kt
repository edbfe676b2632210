package anvilslip.standin

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Simulates the processor of a leader, which handles one message at a time in the order of their arrival. */
internal class LeaderModel(
    private val options: LeaderModelOptions,
    private val time: VirtualTime,
    seed: Long,
) {
    private val random = Random(seed)
    private val avoidedUntil = Array(options.entries) { Duration.ZERO }
    private var freeAt = Duration.ZERO
    private var handled = 0

    /** Questions that were asked, and those of them whose answer was late. */
    var questions = 0
        private set
    var lateAnswers = 0
        private set

    fun start(until: Duration) {
        if (options.plainRequestsPerSecond > 0) plainRequests(until)
    }

    private fun plainRequests(until: Duration) {
        if (time.now >= until) return
        handle(1 + 2 * options.eventShare) {}
        time.at(time.now + (1 / options.plainRequestsPerSecond).seconds) { plainRequests(until) }
    }

    fun pickEntry(): Int = random.nextInt(options.entries)

    fun isAvoided(entry: Int): Boolean = time.now < avoidedUntil[entry]

    fun recordQuestion() {
        questions++
    }

    fun recordLateAnswer(entry: Int) {
        lateAnswers++
        avoidedUntil[entry] = time.now + options.avoidance
    }

    /** Runs [action] once the processor has had time for a message of [share] of a question, after those that came before. */
    fun handle(
        share: Double,
        action: () -> Unit,
    ) {
        val progress = minOf(1.0, handled.toDouble() / options.compiledAfter)
        if (share >= 1) handled++
        val cost = (options.firstQuestion + (options.question - options.firstQuestion) * progress) * share
        freeAt = maxOf(freeAt, time.now) + cost
        time.at(freeAt, action)
    }
}
