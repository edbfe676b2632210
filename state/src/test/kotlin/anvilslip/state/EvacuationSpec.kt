package anvilslip.state

import anvilslip.kernel.SystemClock
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEEDS = 20L

/** Guards against evacuations that are lost, or that come back after they were ended. */
class EvacuationSpec :
    DescribeSpec({
        fun start(
            zone: String,
            expected: Long? = null,
        ) = Command.SetEvacuation(zone, isActive = true, expected)

        fun stop(
            zone: String,
            expected: Long? = null,
        ) = Command.SetEvacuation(zone, isActive = false, expected)

        fun ReplicatedState.outcomeOf(command: Command) = apply(command, 0).outcome

        fun stateAfter(vararg commands: Command) = commands.fold(ReplicatedState()) { state, command -> state.apply(command, 0).state }

        describe("the evacuations") {
            it("can apply to two zones at once, which end separately") {
                val both = stateAfter(start("z1"), start("z2"))
                both.evacuations shouldBe setOf("z1", "z2")
                both.evacuationRevision shouldBe 2
                stateAfter(start("z1"), start("z2"), stop("z1")).evacuations shouldBe setOf("z2")
            }

            it("are those of the last command for each zone in the log") {
                stateAfter(start("z1"), stop("z1")).evacuations shouldBe emptySet()
                stateAfter(stop("z1"), start("z1")).evacuations shouldBe setOf("z1")
                stateAfter(start("z1"), stop("z1"), start("z1")).evacuations shouldBe setOf("z1")
            }
        }

        describe("a call whose answer was lost and that is repeated") {
            it("is acknowledged and changes nothing, also with the revision that was known before its first copy") {
                val started = stateAfter(start("z1", 0))
                started.outcomeOf(start("z1", 0)) shouldBe Outcome.Done
                started.apply(start("z1", 0), 0).state shouldBe started
                val stopped = stateAfter(start("z1", 0), stop("z1", 1))
                stopped.outcomeOf(stop("z1", 1)) shouldBe Outcome.Done
                stopped.apply(stop("z1", 1), 0).state shouldBe stopped
            }
        }

        describe("a late copy of a call that was repeated elsewhere and has been followed by the opposite call") {
            // Guards against an evacuation that begins again after its end was acknowledged.
            it("changes nothing") {
                val stopped = stateAfter(start("z1", 0), stop("z1", 1))
                stopped.outcomeOf(start("z1", 0)) shouldBe Outcome.Conflict(2)
                stopped.apply(start("z1", 0), 0).state shouldBe stopped
                val restarted = stateAfter(start("z1", 0), stop("z1", 1), start("z1", 2))
                restarted.outcomeOf(stop("z1", 1)) shouldBe Outcome.Conflict(3)
            }
        }

        describe("a replica that starts again") {
            suspend fun withReplica(
                folder: Path,
                options: ReplicaOptions,
                action: suspend (Replica) -> Unit,
            ) {
                val replica = Replica("a", setOf("a"), FileStorage(folder), { _, _ -> }, SystemClock, options)
                replica.start()
                try {
                    withTimeout(10.seconds) { while (replica.propose(Command.ReadBarrier) != Outcome.Done.right()) delay(20.milliseconds) }
                    action(replica)
                } finally {
                    replica.stop()
                }
            }

            suspend fun restart(options: ReplicaOptions): Pair<ReplicatedState, Path> {
                val folder = tempdir().toPath()
                val commands = listOf(start("z1", 0), start("z2", 1), start("z3", 2), stop("z2", 3))
                withReplica(folder, options) { replica -> commands.forEach { replica.propose(it) shouldBe Outcome.Done.right() } }
                lateinit var state: ReplicatedState
                withReplica(folder, options) { state = it.view.state }
                return state to folder
            }

            it("knows the evacuations from its log") {
                val (state, folder) = restart(ReplicaOptions())
                state.evacuations shouldBe setOf("z1", "z3")
                state.evacuationRevision shouldBe 4
                folder.listDirectoryEntries("snapshot*").size shouldBe 0
            }

            it("knows the evacuations from its snapshot") {
                val (state, folder) = restart(ReplicaOptions(entriesBetweenSnapshots = 2, retainedEntries = 1))
                state.evacuations shouldBe setOf("z1", "z3")
                state.evacuationRevision shouldBe 4
                folder.listDirectoryEntries("snapshot*").size shouldBe 1
            }
        }

        describe("a change of the leader in the middle of a call") {
            fun SimulatedReplicas.untilLeader(): SimulatedReplicas.Host {
                repeat(600) {
                    leaseHolders.firstOrNull()?.let { return it }
                    run(100.milliseconds)
                }
                error(failureMessage("no leader"))
            }

            /** Repeats [command] at whichever replica leads until a replica that leads has applied it. */
            fun SimulatedReplicas.call(command: (revision: Long) -> Command.SetEvacuation) {
                repeat(20) {
                    val leader = untilLeader()
                    val next = command(leader.core!!.state.evacuationRevision)
                    propose(leader, next)
                    run(500.milliseconds)
                    val state = leaseHolders.firstOrNull()?.core?.state
                    if (state != null && (next.zone in state.evacuations) == next.isActive) return
                }
                error(failureMessage("not committed"))
            }

            // The leader crashes with the call in its log, which may or may not have reached another replica, and returns later with it.
            it("leaves the repeated calls in force, and no late copy undoes them") {
                for (seed in 1..SEEDS) {
                    val replicas = SimulatedReplicas(seed)
                    replicas.hosts.forEach(replicas::start)
                    val first = replicas.untilLeader()
                    replicas.propose(first, start("z1", 0))
                    replicas.run((seed % 4 * 15).milliseconds)
                    replicas.crash(first)
                    replicas.call { start("z1", it) }
                    replicas.call { start("z2", it) }
                    replicas.call { stop("z1", it) }
                    replicas.start(first)
                    replicas.run(5.seconds)
                    for (host in replicas.hosts) {
                        host.core!!.state.evacuations shouldBe setOf("z2")
                        host.core!!.state.evacuationRevision shouldBe 3
                    }
                }
            }
        }
    })
