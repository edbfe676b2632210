package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that are sent before their adapter is loaded, because engines take longer than the dispatcher assumes. Each is
 * turned away, and its engine gets no orders until it has been asked again what it holds.
 */
class AdapterLoadTimeSpec :
    DescribeSpec({
        describe("a dispatcher whose engines take 400 ms to load an adapter") {
            it("sends requests once their adapters are usable, after a few that it has sent too early") {
                val trial = Trial(400.milliseconds)
                repeat(EARLY_ADAPTERS) { trial.serve("a$it") }
                trial.notHeld shouldBeLessThanOrEqual EARLY_ADAPTERS
                val notHeld = trial.notHeld
                repeat(15) {
                    val waited = trial.serve("b$it")
                    waited shouldBeGreaterThanOrEqualTo 400.milliseconds
                    waited shouldBeLessThan 450.milliseconds
                }
                trial.notHeld shouldBe notHeld
            }

            it("orders no second copy and asks no engine what it holds") {
                val trial = Trial(400.milliseconds)
                repeat(10) { trial.serve("a$it") }
                trial.loads shouldBe 10
                trial.dispatcher.enginesToQuery(trial.now).shouldBeEmpty()
            }
        }

        describe("an engine that turns a request away for an adapter that it has served") {
            it("is asked what it holds") {
                val trial = Trial(250.milliseconds)
                trial.serve("a")
                trial.send("a").let { trial.report(it, RequestStep.NOT_HELD) }
                trial.dispatcher.enginesToQuery(trial.now).size shouldBe 1
            }
        }
    }) {
    /** Loads one adapter after the other in virtual time, with one request for each that is sent again until it is run. */
    private class Trial(
        val loadTime: Duration,
    ) {
        var now = Duration.ZERO
        var notHeld = 0
        var loads = 0
        private var number = 0L
        private val startedAt = HashMap<String, Duration>()
        val dispatcher =
            Dispatcher(DispatchOptions(), now, hasPredecessor = false).apply {
                configure(CONFIGURATION, emptyMap(), now)
                updateServers(List(ENGINES) { engine("s$it") }, now)
                for (node in enginesToQuery(now)) recordInventory(node.id, EngineInventory(0, node.models.orEmpty()), now)
            }

        /** Runs a request for [adapter], and returns the time from the start of the load to when it was run. */
        fun serve(adapter: String): Duration {
            while (true) {
                val send = send(adapter)
                val waited = now - startedAt.getValue(adapter)
                if (waited >= loadTime) {
                    report(send, RequestStep.ANSWERING)
                    report(send, RequestStep.ENDED)
                    now += 1.seconds
                    return waited
                }
                notHeld++
                report(send, RequestStep.NOT_HELD)
            }
        }

        fun report(
            number: Long,
            step: RequestStep,
        ) {
            now += 2.milliseconds
            dispatcher.applyEvents("e", listOf(RequestEvent(number, step)), now)
        }

        /** Admits a request for [adapter], carries out the load that it needs, and waits until it is sent; returns its number. */
        fun send(adapter: String): Long {
            val request = request(adapter)
            while (true) {
                when (val admission = dispatcher.admit(request, now)) {
                    is Admission.Load -> {
                        load(admission.order)
                    }

                    else -> {
                        val decision = admission.shouldBeInstanceOf<Admission.Decided>().decision
                        now += decision.shouldBeInstanceOf<DispatchDecision.Send>().holdMillis.milliseconds
                        return request.number
                    }
                }
            }
        }

        private fun load(order: LoadOrder) {
            val steps = checkNotNull(dispatcher.loadSteps(order))
            steps.evict?.let { dispatcher.recordEviction(order, it, steps.ordersTaken + 1) }
            dispatcher.recordLoadStarted(order, steps.ordersTaken + if (steps.evict == null) 1 else 2, now)
            startedAt[order.adapter] = now
            loads++
        }

        private fun request(adapter: String) =
            DispatchRequest(
                entry = "e",
                number = ++number,
                service = "llm",
                workspace = null,
                charge = 0,
                zone = "z1",
                targetMillis = 3000,
                remainingMillis = 5000,
                model = "m",
                adapter = adapter,
                promptTokens = 100,
            )
    }

    private companion object {
        const val ENGINES = 4
        const val EARLY_ADAPTERS = 5
        val ENGINE =
            EngineProfile(
                slots = 64,
                kvCapacity = 100_000,
                models = listOf(ModelProfile("m", 100.0, 1.seconds, 1.0)),
                weightsMb = 200.0,
                adapterSlots = 2,
                loadsPerSecond = 2.0,
            )
        val CONFIGURATION = ServingConfiguration(version = 1, services = mapOf("llm" to BackendService("llm", 100, ENGINE)))

        fun engine(id: String) = ServerReport(id, "llm", "$id:80", "z1", ServerPhase.READY, 1, 1, 64, listOf(LoadedModel("m", emptyMap())))
    }
}
