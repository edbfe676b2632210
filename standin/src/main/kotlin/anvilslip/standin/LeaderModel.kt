package anvilslip.standin

import anvilslip.policy.LeaderLateness
import anvilslip.policy.QuestionWindow
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
    private val lastAnswerAt = Array(options.entries) { -options.avoidance }
    private val lateness = List(options.entries) { LeaderLateness() }
    private val unreported = List(options.entries) { ArrayList<() -> Unit>() }
    private val unanswered = IntArray(options.entries)
    private val windows = List(options.entries) { QuestionWindow() }
    private val unasked = List(options.entries) { ArrayDeque<() -> Unit>() }
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
        val entry = pickEntry()
        val askedAt = time.now
        if (isLate(entry)) {
            report(entry) {}
        } else {
            var sentAt = askedAt
            ask(entry, isWaiting = { (time.now - askedAt < options.turnTimeout).also { sentAt = time.now } }) {
                endQuestion(entry, sentAt)
                recordAnswer(entry, askedAt, isDecidable = true)
            }
        }
        repeat(2) { report(entry) {} }
        time.at(time.now + (1 / options.plainRequestsPerSecond).seconds) { plainRequests(until) }
    }

    fun pickEntry(): Int = random.nextInt(options.entries)

    fun isAvoided(entry: Int): Boolean = time.now < avoidedUntil[entry]

    /** True if [entry] decides itself what it can. */
    fun isLate(entry: Int): Boolean = !lateness[entry].mayAsk(time.now)

    /** Has a question of [entry] handled in its turn, if it [isWaiting] then. [endQuestion] must be called for each that is handled. */
    fun ask(
        entry: Int,
        isWaiting: () -> Boolean,
        action: () -> Unit,
    ) {
        unasked[entry].addLast { if (isWaiting()) sendQuestion(entry, action) }
        askNext(entry)
    }

    private fun sendQuestion(
        entry: Int,
        action: () -> Unit,
    ) {
        unanswered[entry]++
        questions++
        handle(1.0, action)
    }

    /** Records that the question of [entry] that was sent at [sentAt] is answered, or no longer waited for. */
    fun endQuestion(
        entry: Int,
        sentAt: Duration,
    ) {
        unanswered[entry]--
        windows[entry].recordAnswer(time.now - sentAt, time.now)
        askNext(entry)
    }

    private fun askNext(entry: Int) {
        while (unanswered[entry] < windows[entry].size) unasked[entry].removeFirstOrNull()?.invoke() ?: return
    }

    /** Has [event] of a request of [entry] applied once it was reported, together with others. */
    fun report(
        entry: Int,
        event: () -> Unit,
    ) {
        val batch = unreported[entry]
        batch += event
        if (batch.size > 1) return
        time.at(time.now + if (lateness[entry].isLate()) options.lateBatchDelay else options.batchDelay) {
            val events = batch.toList()
            batch.clear()
            handle(options.eventShare * (1 + options.furtherEventShare * (events.size - 1))) { events.forEach { it() } }
        }
    }

    /** Records that a question of [entry] is answered, which it could have decided itself if [isDecidable]. */
    fun recordAnswer(
        entry: Int,
        askedAt: Duration,
        isDecidable: Boolean,
    ) {
        lastAnswerAt[entry] = time.now
        if (isDecidable) recordTime(entry, askedAt)
    }

    /** Records that [entry] has waited since [askedAt] for an answer that it could have done without. */
    fun recordTime(
        entry: Int,
        askedAt: Duration,
    ): Unit = lateness[entry].recordAnswer(time.now - askedAt, time.now)

    /** Records that a question of [entry] at [askedAt] was not answered in time. */
    fun recordLateAnswer(
        entry: Int,
        askedAt: Duration,
        isDecidable: Boolean,
    ) {
        lateAnswers++
        if (isDecidable) recordTime(entry, askedAt)
        // A leader that has answered other questions meanwhile is late with this one only.
        if (lastAnswerAt[entry] < askedAt) avoidedUntil[entry] = time.now + options.avoidance
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
