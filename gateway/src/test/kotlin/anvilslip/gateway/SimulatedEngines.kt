package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.policy.EngineInventory
import anvilslip.policy.LoadedModel
import anvilslip.policy.ServerPhase
import anvilslip.policy.ServerReport
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.TreeMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Model engines in virtual time that check fencing tokens and the expected number of orders, but not their adapter slots. Orders and
 * replies can be lost, and orders can be carried out late. Records each violation of the rules on orders.
 */
internal class SimulatedEngines(
    count: Int,
    private val slots: Int,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val random: Random = Random(1),
    private val faults: Faults = Faults(),
) {
    /** Shares of the exchanges that fail in each way. */
    class Faults(
        val lostOrders: Double = 0.0,
        val lateOrders: Double = 0.0,
        val lostReplies: Double = 0.0,
    )

    /** An order that an engine has accepted. */
    data class Accepted(
        val engine: String,
        val boot: Int,
        val token: Long,
        val holder: String,
    )

    inner class Engine(
        val id: String,
    ) {
        var boot = 1
        var orders = 0L
        var highestToken = 0L
        val held = TreeMap<String, Long>()
        val pending = TreeMap<String, Duration>()

        val occupied: Int get() = held.size + pending.size

        fun settle() {
            val loaded = pending.filterValues { it <= clock.elapsed() }.keys
            for (adapter in loaded) held[adapter] = VERSION
            pending -= loaded
        }

        fun restart() {
            boot++
            orders = 0
            highestToken = 0
            held.clear()
            pending.clear()
        }

        fun inventory(): EngineInventory {
            settle()
            val pendingByModel = if (pending.isEmpty()) emptyMap() else mapOf(MODEL to pending.keys.toSet())
            return EngineInventory(orders, listOf(LoadedModel(MODEL, held.toMap())), pendingByModel)
        }

        fun report() =
            ServerReport(id, SERVICE, "$id:80", "z", ServerPhase.READY, boot.toLong(), 1, slots = 64, models = listOf(LoadedModel(MODEL)))
    }

    val engines = (1..count).map { Engine("engine$it") }.associateBy { it.id }
    val accepted = ArrayList<Accepted>()
    val violations = ArrayList<String>()
    var ordersReceived = 0
        private set
    private val holders = HashMap<Long, String>()
    private val refusals = HashSet<Triple<String, String, Long>>()

    /** Carries out [order] of [holder] on its engine now. */
    fun execute(
        order: EngineOrder,
        token: Long,
        holder: String,
    ): OrderReply {
        val engine = engines.getValue(order.server)
        engine.settle()
        ordersReceived++
        if (holders.getOrPut(token) { holder } != holder) violations += "$holder and ${holders[token]} share the token $token"
        if (token < engine.highestToken) return OrderReply.FENCED
        engine.highestToken = token
        if (order.expectedOrders != engine.orders) return OrderReply.CONFLICT
        val adapter = checkNotNull(order.adapter) { "order for a base model" }
        if (order.isLoad == (adapter in engine.held)) return OrderReply.HOLDS
        if (adapter in engine.pending) return OrderReply.CONFLICT
        if (order.isLoad) engine.pending[adapter] = clock.elapsed() + LOAD_TIME else engine.held -= adapter
        engine.orders++
        accepted += Accepted(engine.id, engine.boot, token, holder)
        if (engine.occupied > slots) violations += "${engine.id} was ordered by $holder to hold ${engine.occupied} adapters"
        return if (order.isLoad) OrderReply.TAKEN else OrderReply.HOLDS
    }

    /** The engines as [holder] reaches them; [mayOrder] tells whether it may send orders at present. */
    fun client(
        holder: String,
        mayOrder: () -> Boolean = { true },
    ): EngineClient =
        object : EngineClient {
            override suspend fun queryInventory(
                server: String,
                address: String,
            ): EngineInventory? {
                delay(oneWay())
                if (random.nextDouble() < faults.lostReplies) return null.also { delay(TIMEOUT) }
                return engines.getValue(server).inventory().also { delay(oneWay()) }
            }

            override suspend fun sendOrder(
                order: EngineOrder,
                fencingToken: Long,
            ): OrderReply {
                val refusal = Triple(order.server, holder, fencingToken)
                if (refusal in refusals) violations += "$holder repeats the refused token $fencingToken to ${order.server}"
                if (!mayOrder()) violations += "$holder sends an order to ${order.server} although it may not"
                val reply = deliver(order, fencingToken, holder)
                if (reply == OrderReply.FENCED) refusals += refusal
                return reply
            }
        }

    private suspend fun deliver(
        order: EngineOrder,
        token: Long,
        holder: String,
    ): OrderReply {
        val engine = engines.getValue(order.server)
        val boot = engine.boot
        delay(oneWay())
        val fate = random.nextDouble()
        if (fate < faults.lateOrders) {
            // The connection on which the order waits ends with the process of the engine.
            scope.launch { delay(random.nextLong(MAX_LATE_MILLIS)).also { if (engine.boot == boot) execute(order, token, holder) } }
        }
        if (fate < faults.lateOrders + faults.lostOrders || engine.boot != boot) return OrderReply.UNANSWERED.also { delay(TIMEOUT) }
        val reply = execute(order, token, holder)
        if (random.nextDouble() < faults.lostReplies) return OrderReply.UNANSWERED.also { delay(TIMEOUT) }
        delay(oneWay())
        return reply
    }

    private fun oneWay(): Duration = random.nextInt(1, MAX_ONE_WAY_MILLIS).milliseconds

    companion object {
        const val SERVICE = "llm"
        const val MODEL = "m"
        const val VERSION = 5L
        const val MAX_ONE_WAY_MILLIS = 4
        const val MAX_LATE_MILLIS = 1500L
        val LOAD_TIME = 250.milliseconds
        val TIMEOUT = 150.milliseconds
    }
}
