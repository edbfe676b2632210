package anvilslip.policy

import com.sun.management.ThreadMXBean
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

// Guards against a leader that spends its processor time on the garbage of its decisions, so that its answers and orders come late: at
// 1,000 decisions a second, 10 KB each fill a young generation of 2.5 MB four times a second.
class DecisionAllocationSpec :
    DescribeSpec({
        val maxBytes = 10_000L
        val decisions = 300

        describe("a decision among 98 engines with 6 adapters each") {
            it("allocates little if an engine holds the adapter") {
                val fleet = LargeFleet()
                fleet.bytesPerDecision(decisions) { fleet.admitAndEnd(it, "a$it") } shouldBeLessThan maxBytes
            }

            it("allocates little if the adapter must be loaded") {
                val fleet = LargeFleet()
                fleet.bytesPerDecision(decisions) { fleet.admitAndLoad(it, "new$it") } shouldBeLessThan maxBytes
            }

            it("allocates little if all adapters are in use") {
                val fleet = LargeFleet()
                repeat(LargeFleet.ADAPTERS) { fleet.admit(it, "a$it").shouldBeInstanceOf<Admission.Decided>() }
                fleet.bytesPerDecision(decisions) {
                    fleet.admit(LargeFleet.ADAPTERS + it, "new$it").refusal() shouldBe DispatchRefusal.LOADING
                } shouldBeLessThan maxBytes
            }

            it("allocates little if as many loads are reserved as the leader may have") {
                val fleet = LargeFleet()
                repeat(100) { fleet.admit(it, "first$it") }
                fleet.bytesPerDecision(decisions) {
                    fleet.admit(100 + it, "new$it").refusal() shouldBe DispatchRefusal.LOADING
                } shouldBeLessThan maxBytes
            }
        }

        describe("a decision on a plain request beside them") {
            it("allocates little") {
                val fleet = LargeFleet()
                fleet.bytesPerDecision(decisions) { fleet.admitPlain(it) } shouldBeLessThan maxBytes
            }
        }
    })

private fun Admission.refusal() = shouldBeInstanceOf<Admission.Decided>().decision.shouldBeInstanceOf<DispatchDecision.Refuse>().reason

/** A dispatcher with 98 engines, all of whose slots hold an adapter, and 5 plain servers. */
private class LargeFleet {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private val dispatcher = Dispatcher(DispatchOptions(minQueueEngines = Int.MAX_VALUE), Duration.ZERO, hasPredecessor = false)
    private var now = 1.seconds

    init {
        val profile = EngineProfile(96, 121_730, listOf(ModelProfile(MODEL, 34_300.0, 1.seconds, 1.0)), 35_000.0, SLOTS, 40.0)
        val services = mapOf("llm" to BackendService("llm", 500, profile), "app" to BackendService("app", 100, null))
        dispatcher.configure(ServingConfiguration(1, services = services), emptyMap(), Duration.ZERO)
        dispatcher.updateServers(List(ENGINES, ::engine) + List(PLAIN_SERVERS, ::plainServer), Duration.ZERO)
        for (engine in dispatcher.enginesToQuery(Duration.ZERO)) {
            dispatcher.recordInventory(engine.id, EngineInventory(0, engine.models.orEmpty()), Duration.ZERO)
        }
    }

    private fun engine(number: Int): ServerReport {
        val adapters = (0 until SLOTS).associate { "a${number * SLOTS + it}" to 1L }
        return ServerReport(
            "e$number",
            "llm",
            "e$number:80",
            zone(number),
            ServerPhase.READY,
            1,
            1,
            96,
            listOf(LoadedModel(MODEL, adapters)),
        )
    }

    private fun plainServer(number: Int) = ServerReport("p$number", "app", "p$number:80", zone(number), ServerPhase.READY, 1, 1, 6, null)

    private fun zone(number: Int) = "az${number % 5}"

    /** Mean number of bytes that the thread allocates in [decide], over [count] calls after as many that load the classes. */
    fun bytesPerDecision(
        count: Int,
        decide: (Int) -> Unit,
    ): Long {
        repeat(WARM_UP, decide)
        val before = threads.getThreadAllocatedBytes(Thread.currentThread().id)
        for (i in WARM_UP until WARM_UP + count) decide(i)
        return (threads.getThreadAllocatedBytes(Thread.currentThread().id) - before) / count
    }

    fun admit(
        number: Int,
        adapter: String?,
    ): Admission = dispatcher.admit(request(number, "llm", MODEL, adapter), now)

    fun admitAndEnd(
        number: Int,
        adapter: String,
    ) {
        admit(number, adapter).shouldBeInstanceOf<Admission.Decided>().decision.shouldBeInstanceOf<DispatchDecision.Send>()
        end(number)
    }

    fun admitAndLoad(
        number: Int,
        adapter: String,
    ) {
        now += 30.milliseconds
        val order = admit(number, adapter).shouldBeInstanceOf<Admission.Load>().order
        order.evict?.let { dispatcher.recordEviction(order, it, 1) }
        dispatcher.recordLoadStarted(order, 1, now)
    }

    fun admitPlain(number: Int) {
        val admission = dispatcher.admit(request(number, "app", null, null), now).shouldBeInstanceOf<Admission.Decided>()
        admission.decision.shouldBeInstanceOf<DispatchDecision.Send>()
        end(number)
    }

    private fun end(number: Int) = dispatcher.applyEvents(ENTRY, listOf(RequestEvent(number.toLong(), RequestStep.ENDED)), now)

    private fun request(
        number: Int,
        service: String,
        model: String?,
        adapter: String?,
    ) = DispatchRequest(
        entry = ENTRY,
        number = number.toLong(),
        service = service,
        workspace = null,
        charge = 0,
        zone = "az1",
        targetMillis = 1_000,
        remainingMillis = 5_000,
        model = model,
        adapter = adapter,
        promptTokens = 1_500,
    )

    companion object {
        const val ENGINES = 98
        const val SLOTS = 6
        const val ADAPTERS = ENGINES * SLOTS
        private const val PLAIN_SERVERS = 5
        private const val WARM_UP = 20
        private const val MODEL = "m"
        private const val ENTRY = "entry"
    }
}
