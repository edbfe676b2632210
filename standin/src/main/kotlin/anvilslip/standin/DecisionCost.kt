package anvilslip.standin

import anvilslip.policy.AdapterUse
import anvilslip.policy.AdapterVersion
import anvilslip.policy.Announcement
import anvilslip.policy.BackendKind
import anvilslip.policy.Placement
import anvilslip.policy.PlacementOptions
import anvilslip.policy.PlacementRequest
import anvilslip.state.Adapter
import anvilslip.state.Change
import anvilslip.state.Configuration
import anvilslip.state.withChange
import com.sun.management.ThreadMXBean
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Benchmarks placement decisions and configuration changes on one thread after a warm-up. */
public object DecisionCost {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private const val WARM_UP = 200_000
    private const val MEASURED = 400_000
    private const val SLOTS = 8
    private const val RELEASE_INTERVAL = 64

    /** Returns one line of results for [servers] engines and [adapters] known adapters, most of them idle. */
    public fun placement(
        adapters: Int,
        servers: Int,
    ): String {
        val run = PlacementRun(adapters, servers)
        repeat(WARM_UP) { run.step(it) }
        val bytes = threads.getThreadAllocatedBytes(Thread.currentThread().id)
        val startedAt = System.nanoTime()
        repeat(MEASURED) { run.step(it) }
        val nanos = (System.nanoTime() - startedAt) / MEASURED
        val allocated = (threads.getThreadAllocatedBytes(Thread.currentThread().id) - bytes) / MEASURED
        return "placement adapters=$adapters servers=$servers ns_per_decision=$nanos bytes_per_decision=$allocated"
    }

    /** Returns one line of results for a configuration with [adapters] adapters. */
    @OptIn(ExperimentalSerializationApi::class)
    public fun configuration(adapters: Int): String {
        val all = List(adapters) { Adapter("adapter-$it", "base", setOf("v1"), "v1") }
        var configuration = Configuration().withChange(Change.PutAdapters(all)).getOrNull()!!
        val size = Cbor.encodeToByteArray(Configuration.serializer(), configuration).size
        repeat(WARM_UP) { configuration = updateAdapter(configuration, it % adapters) }
        val startedAt = System.nanoTime()
        repeat(MEASURED) { configuration = updateAdapter(configuration, it % adapters) }
        val nanos = (System.nanoTime() - startedAt) / MEASURED
        val change = Cbor.encodeToByteArray(Change.serializer(), Change.PutAdapters(all.take(1))).size
        return "configuration adapters=$adapters snapshot_bytes=$size change_bytes=$change ns_per_change=$nanos"
    }

    private fun updateAdapter(
        configuration: Configuration,
        number: Int,
    ): Configuration =
        configuration.withChange(Change.PutAdapters(listOf(Adapter("adapter-$number", "base", setOf("v2"), "v2")))).getOrNull()!!

    private class PlacementRun(
        adapters: Int,
        servers: Int,
    ) {
        private val random = Random(1)
        private val placement = Placement(PlacementOptions(), Duration.ZERO, hasPredecessor = false)
        private val loaded = List(servers) { server -> List(SLOTS) { AdapterVersion("adapter-${(server * SLOTS + it) % adapters}", "v1") } }
        private var now = Duration.ZERO

        init {
            for (number in 0 until adapters) {
                placement.place(placementRequest(AdapterVersion("adapter-$number", "v1"), "none"), now)
            }
            loaded.forEachIndexed(::announce)
        }

        fun step(number: Int) {
            now += 1.milliseconds
            val server = random.nextInt(loaded.size)
            val adapter = loaded[server].random(random)
            placement.place(placementRequest(adapter, "base"), now)
            if (number % RELEASE_INTERVAL != 0) return
            loaded.forEachIndexed { at, held ->
                announce(at, held)
                val idle = held.map { AdapterUse("engine-$at", it, 0, 0) }
                placement.renewLeases("i1", idle, now)
            }
        }

        private fun announce(
            server: Int,
            held: List<AdapterVersion>,
        ) {
            val name = "engine-$server"
            placement.applyAnnouncement(
                Announcement(name, "1", BackendKind.MODEL, "base", "127.0.0.1:1", "z", SLOTS, 1_000, loaded = held),
                now,
            )
        }

        private fun placementRequest(
            adapter: AdapterVersion,
            model: String,
        ) = PlacementRequest(1, "i1", "w", model, adapter, now + 5_000.milliseconds, 10.0)
    }
}
