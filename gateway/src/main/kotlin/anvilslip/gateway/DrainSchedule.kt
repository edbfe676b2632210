package anvilslip.gateway

import kotlin.time.Duration

/** How the time from the signal to stop until the process is killed is spent. */
public class DrainSchedule(
    shutdownTime: Duration,
) {
    /**
     * How long requests are still taken in: clients keep the list of entry instances for a while. A request that is taken in last
     * has the rest of the time, so that a long answer is finished before the end.
     */
    public val acceptPeriod: Duration = shutdownTime * SERVING_SHARE

    /** How long the answers under way may take after that. */
    public val completionPeriod: Duration = shutdownTime * FINISHING_SHARE

    private companion object {
        const val SERVING_SHARE = 0.35
        const val FINISHING_SHARE = 0.6
    }
}
