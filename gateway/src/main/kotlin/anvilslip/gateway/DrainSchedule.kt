package anvilslip.gateway

import kotlin.time.Duration

/** Divides the time between the stop signal and the kill of the process ([shutdownTime]) into the phases of a graceful shutdown. */
public class DrainSchedule(
    shutdownTime: Duration,
) {
    /**
     * How long new requests are still accepted, since clients cache the list of entry instances. The rest of the time remains for
     * the request accepted last, so that a long response can complete before the process is killed.
     */
    public val acceptPeriod: Duration = shutdownTime * ACCEPT_SHARE

    /** How long responses in progress may take after [acceptPeriod]. */
    public val completionPeriod: Duration = shutdownTime * COMPLETION_SHARE

    private companion object {
        const val ACCEPT_SHARE = 0.35
        const val COMPLETION_SHARE = 0.6
    }
}
