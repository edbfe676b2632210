package anvilslip.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Processor time that a leader needs for its messages in a [DispatchTrial], and how entry instances decide without its answer. */
public data class LeaderModelOptions(
    /** Time for one question of an entry instance once the code is compiled, at the share of a core that the leader has. */
    val question: Duration,
    /** Time for the first question; falls to [question] over [compiledAfter] of them. */
    val firstQuestion: Duration = question,
    val compiledAfter: Int = 2_000,
    /** Time for a report of progress with one event, as a share of that for a question. */
    val eventShare: Double = 0.3,
    /** Time for each further event of a report, as a share of [eventShare]. */
    val furtherEventShare: Double = 0.4,
    /** How long an entry instance collects the events of a report, and how long while the leader is late. */
    val batchDelay: Duration = 8.milliseconds,
    val lateBatchDelay: Duration = 100.milliseconds,
    /** Time for an order to an engine, as a share of that for a question. */
    val orderShare: Double = 1.0,
    val entries: Int = 78,
    /** Requests a second of services without models, which the leader decides as well. */
    val plainRequestsPerSecond: Double = 0.0,
    /** How long entry instances wait for an answer. */
    val answerTimeout: Duration = 450.milliseconds,
    /** How long a question waits until those before it are answered. */
    val turnTimeout: Duration = 200.milliseconds,
    /** How long an entry instance does not ask a leader that has answered nothing since a question that it did not answer in time. */
    val avoidance: Duration = 300.milliseconds,
    /** How often the entry instances learn what engines hold. */
    val reportInterval: Duration = 1.2.seconds,
)
