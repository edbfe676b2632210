package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Bounds and times of [AdmissionControl]. */
public data class AdmissionOptions(
    /** Maximum number of waiting requests of a service. */
    val maxWaiting: Int = 1024,
    /** How long a request of a service with fewer engines waits for a free adapter place. */
    val placeTimeout: Duration = 100.milliseconds,
    /** How often such a request is tried again. */
    val placeRetry: Duration = 25.milliseconds,
    /** Time after which a waiting request is answered by [DispatchDecision.Wait]; entry instances wait 450 ms for an answer. */
    val answerAfter: Duration = 300.milliseconds,
    /** How long the place of a request is kept after such an answer. */
    val holdPlace: Duration = 500.milliseconds,
    /** Shortest time between two passes over the queue, so that their cost does not delay the renewal of the leader's lease. */
    val passInterval: Duration = 5.milliseconds,
    /** Requests that are tried in one pass; each try compares all engines of the service. */
    val triesPerPass: Int = 16,
    /** Pause of a request after its first failed try; doubles with each further one up to [maxRetryPause]. Events end it earlier. */
    val retryPause: Duration = 20.milliseconds,
    /** Longest pause of a request between two tries. */
    val maxRetryPause: Duration = 160.milliseconds,
    /** One in this many placements goes to the request that has waited longest. */
    val agedInterval: Int = 8,
    /**
     * Time that a request may wait for the limit of its workspace, after the requests of the workspace that wait already, as a share of
     * the time until its deadline; at least its target.
     */
    val limitWaitShare: Double = 0.25,
    /** Expected wait up to which a late request is started, as a share of its target. */
    val lateWaitShare: Double = 0.25,
    /** Prompt tokens that take an engine as long as one output token in a shared batch. */
    val promptTokensPerOutputToken: Int = 10,
)
