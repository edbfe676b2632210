package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.policy.StreamOrigin
import anvilslip.policy.StreamOrigins
import anvilslip.policy.StreamRecord

/** The [StreamOrigins] that this instance knows, shared by its threads. */
public class StreamRegistry(
    private val clock: Clock,
) {
    private val origins = StreamOrigins()

    /** Records the origins of streams. */
    public fun record(records: List<StreamRecord>) {
        if (records.isEmpty()) return
        synchronized(origins) { records.forEach { origins.record(it, clock.elapsed()) } }
    }

    /** Returns the origin of the stream whose first event the attempt [attemptId] delivered, or null if it is not known. */
    public fun find(attemptId: String): StreamOrigin? = synchronized(origins) { origins.find(attemptId, clock.elapsed()) }

    /** Returns the records of all streams that may still be resumed. */
    public fun unexpired(): List<StreamRecord> = synchronized(origins) { origins.unexpired(clock.elapsed()) }
}
