package anvilslip.gateway

import anvilslip.kernel.SystemClock
import anvilslip.state.FileStorage
import anvilslip.state.LogEntry
import anvilslip.state.Payload
import anvilslip.state.Replica
import anvilslip.state.ReplicaId
import anvilslip.state.ReplicaOptions
import anvilslip.state.ReplicaOutput
import anvilslip.state.Vote
import anvilslip.wire.PeerAdmission
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against an election that waits for the handshakes of all entry instances, which reconnect when the power returns. */
class RecoveryAdmissionSpec :
    DescribeSpec({
        /** Runs [action] with the admission of a replica that restarts as one of the voters "a" and [others], which never start. */
        suspend fun withAdmission(
            others: List<String>,
            action: suspend (PeerAdmission, Replica) -> Unit,
        ) {
            val folder = tempdir().toPath()
            FileStorage(folder).use { storage ->
                val voters = (others.map { ReplicaId(it, "x") } + ReplicaId("a", storage.recover().identity)).toSet()
                storage.store(ReplicaOutput(append = listOf(LogEntry(1, 1, Payload.Membership(voters))), vote = Vote(1)))
            }
            val options = ReplicaOptions(voterTarget = others.size + 1)
            val replica = Replica("a", setOf("a"), FileStorage(folder), { _, _ -> }, SystemClock, options)
            replica.start()
            try {
                action(RecoveryAdmission(replica, setOf("a"), SystemClock), replica)
            } finally {
                replica.stop()
            }
        }

        suspend fun timeToAdmit(
            admission: PeerAdmission,
            peer: String,
        ): Duration {
            val from = SystemClock.elapsed()
            withTimeoutOrNull(5.seconds) { admission.await(peer) }
            return SystemClock.elapsed() - from
        }

        describe("a control instance that has restarted and has heard of no leader") {
            it("serves another voter at once") {
                withAdmission(listOf("b", "c")) { admission, _ ->
                    withTimeoutOrNull(300.milliseconds) { admission.await("b") } shouldBe Unit
                }
            }

            it("holds back an entry instance, but serves it when no leader is elected in time") {
                withAdmission(listOf("b", "c")) { admission, _ ->
                    val time = timeToAdmit(admission, "entry")
                    time shouldBeGreaterThanOrEqualTo 1.seconds
                    time shouldBeLessThan 2500.milliseconds
                }
            }
        }

        describe("a control instance that is current") {
            it("serves an entry instance at once") {
                withAdmission(emptyList()) { admission, replica ->
                    replica.awaitCurrent()
                    withTimeoutOrNull(300.milliseconds) { admission.await("entry") } shouldBe Unit
                }
            }
        }
    })
