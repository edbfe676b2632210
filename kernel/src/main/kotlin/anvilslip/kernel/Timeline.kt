package anvilslip.kernel

import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.atomic.AtomicInteger

/** Holds the most recent events of one instance, up to [capacity]; the oldest are discarded. */
public class Timeline(
    private val instance: String,
    private val stamps: HybridClock,
    private val capacity: Int = DEFAULT_CAPACITY,
) : Service {
    override val name: String = NAME
    private val log = EventLogger("timeline")
    private val events = ConcurrentLinkedDeque<Event>()
    private val size = AtomicInteger()

    /** Records an event with the current timestamp and logs it. */
    public fun record(
        kind: EventKind,
        requestId: String? = null,
        cause: String? = null,
        fields: Map<String, String> = emptyMap(),
    ) {
        events.addLast(Event(stamps.next(), instance, kind, requestId, cause, fields))
        if (size.incrementAndGet() > capacity && events.pollFirst() != null) size.decrementAndGet()
        val pairs = listOf("request_id" to requestId, "cause" to cause) + fields.toList()
        if (kind in
            PER_REQUEST_KINDS
        ) {
            log.debug(kind.name.lowercase(), *pairs.toTypedArray())
        } else {
            log.info(kind.name.lowercase(), *pairs.toTypedArray())
        }
    }

    /** Returns the newest [limit] events with a stamp after [since], oldest first. */
    public fun since(
        since: Stamp = Stamp(0, 0),
        limit: Int = capacity,
    ): List<Event> = events.filter { it.stamp > since }.sortedBy { it.stamp }.takeLast(limit)

    public companion object {
        /** Name under which the timeline is registered in the [ServiceRegistry]. */
        public const val NAME: String = "timeline"
        private const val DEFAULT_CAPACITY = 5_000

        /** Events logged at debug level, because they occur for every request. */
        private val PER_REQUEST_KINDS = setOf(EventKind.REQUEST_SENT, EventKind.CLAIM_TAKEN)
    }
}
