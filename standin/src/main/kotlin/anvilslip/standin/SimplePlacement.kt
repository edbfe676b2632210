package anvilslip.standin

import anvilslip.policy.AdapterUse
import anvilslip.policy.AdapterVersion
import anvilslip.policy.Announcement
import anvilslip.policy.Order
import anvilslip.policy.PlacementDecision
import anvilslip.policy.PlacementOptions
import anvilslip.policy.PlacementOutput
import anvilslip.policy.PlacementPolicy
import anvilslip.policy.PlacementRequest
import anvilslip.policy.RefusalReason
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Baseline for comparison with [anvilslip.policy.Placement]: loads adapters in order of arrival, evicts the least recently used or a
 * random idle adapter, picks a random server with the adapter, and refuses only requests that waited past their deadline.
 */
public class SimplePlacement(
    private val options: PlacementOptions,
    private val eviction: Eviction,
    seed: Long,
) : PlacementPolicy {
    /** Which idle adapter is evicted. */
    public enum class Eviction {
        LEAST_RECENTLY_USED,
        RANDOM,
    }

    private class Server(
        val announcement: Announcement,
    ) {
        val loaded = HashMap<AdapterVersion, Duration>()
        val users = HashMap<AdapterVersion, HashMap<String, Int>>()
        var loading: AdapterVersion? = null
    }

    private val random = Random(seed)
    private val servers = LinkedHashMap<String, Server>()
    private val queue = LinkedHashMap<AdapterVersion, MutableList<Pair<PlacementRequest, Duration>>>()
    private var loadTokens = 1.0
    private var refilledAt = Duration.ZERO
    private var output = PlacementOutput()

    override fun applyAnnouncement(
        announcement: Announcement,
        now: Duration,
    ): PlacementOutput {
        val known = servers[announcement.server]
        if (known?.announcement?.incarnation != announcement.incarnation) servers[announcement.server] = Server(announcement)
        return PlacementOutput()
    }

    override fun renewLeases(
        instance: String,
        uses: List<AdapterUse>,
        now: Duration,
    ): PlacementOutput {
        for (use in uses) {
            val users = servers[use.server]?.users?.getOrPut(use.adapter) { HashMap() } ?: continue
            if (use.inFlight == 0) users.remove(instance) else users[instance] = use.inFlight
        }
        return PlacementOutput()
    }

    override fun place(
        request: PlacementRequest,
        now: Duration,
    ): PlacementOutput =
        step(now) {
            val holders = servers.values.filter { request.adapter in it.loaded }
            if (holders.isEmpty()) {
                queue.getOrPut(
                    request.adapter,
                ) { ArrayList() } += request to now
            } else {
                place(holders.random(random), request, now, now)
            }
        }

    override fun recordLoadResult(
        server: String,
        adapter: AdapterVersion,
        succeeded: Boolean,
        now: Duration,
    ): PlacementOutput =
        step(now) {
            val target = servers.getValue(server)
            val expected = target.loading == adapter
            target.loading = null
            if (succeeded && expected) {
                target.loaded[adapter] = now
                queue.remove(adapter)?.forEach { (request, queuedAt) -> place(target, request, queuedAt, now) }
            }
        }

    override fun tick(now: Duration): PlacementOutput =
        step(now) {
            for (waiting in queue.values) {
                val late = waiting.filter { now > it.first.deadline }
                waiting.removeAll(late)
                for ((call, _) in late) answer(call, PlacementDecision.Refused(RefusalReason.LOAD_TOO_SLOW, 1.seconds.inWholeMilliseconds))
            }
            queue.values.removeAll { it.isEmpty() }
        }

    private inline fun step(
        now: Duration,
        action: () -> Unit,
    ): PlacementOutput {
        output = PlacementOutput()
        action()
        startLoads(now)
        return output
    }

    private fun place(
        server: Server,
        request: PlacementRequest,
        queuedAt: Duration,
        now: Duration,
    ) {
        server.loaded[request.adapter] = now
        server.users.getOrPut(request.adapter) { HashMap() }.merge(request.instance, 1, Int::plus)
        answer(
            request,
            PlacementDecision.Placed(server.announcement.server, lease = 1, stalledMillis = (now - queuedAt).inWholeMilliseconds),
        )
    }

    private fun answer(
        request: PlacementRequest,
        decision: PlacementDecision,
    ) {
        output = output.copy(answers = output.answers + PlacementOutput.Answer(request, decision))
    }

    private fun startLoads(now: Duration) {
        loadTokens = minOf(MAX_TOKENS, loadTokens + options.loadsPerSecond * (now - refilledAt).toDouble(DurationUnit.SECONDS))
        refilledAt = now
        for (adapter in queue.keys.toList()) {
            val inFlight = servers.values.count { it.loading != null }
            if (loadTokens < 1.0 || inFlight >= options.maxLoadsInFlight) return
            if (servers.values.any { it.loading == adapter }) continue
            val server =
                servers.values.shuffled(random).firstOrNull { it.loading == null && (it.hasRoom() || evictable(it) != null) } ?: return
            load(server, adapter)
        }
    }

    private fun Server.hasRoom() = loaded.size < announcement.slots

    private fun evictable(server: Server): AdapterVersion? {
        val idle = server.loaded.keys.filter { server.users[it].isNullOrEmpty() }
        return when (eviction) {
            Eviction.LEAST_RECENTLY_USED -> idle.minByOrNull { server.loaded.getValue(it) }
            Eviction.RANDOM -> idle.randomOrNull(random)
        }
    }

    private fun load(
        server: Server,
        adapter: AdapterVersion,
    ) {
        val evicted = if (server.hasRoom()) null else evictable(server)
        evicted?.let { server.loaded.remove(it) }
        loadTokens -= 1.0
        server.loading = adapter
        output = output.copy(orders = output.orders + Order.Load(server.announcement.server, adapter, evicted))
    }

    private companion object {
        const val MAX_TOKENS = 2.0
    }
}
