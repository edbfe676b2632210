package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration

/** Guards against the loss of acknowledged entries on a follower that receives a delayed or repeated snapshot. */
class LateSnapshotSpec :
    DescribeSpec({
        val leader = ReplicaId("a", "id")
        val voters = setOf(leader, ReplicaId("b", "id"), ReplicaId("c", "id"))
        val membership = LogEntry(1, 1, Payload.Membership(voters))

        fun entries(
            indexes: LongRange,
            term: Long,
        ) = indexes.map { LogEntry(it, term, Payload.Noop) }

        fun snapshot(
            index: Long,
            term: Long,
        ) = Snapshot(index, term, voters, ReplicatedState())

        /** A follower that has acknowledged [entries] after the first, of which those up to [commit] are known to be committed. */
        class Follower(
            entries: List<LogEntry>,
            commit: Long,
        ) {
            val stored = mutableListOf(membership)
            val core =
                ReplicaCore(
                    ReplicaId("b", "id"),
                    RecoveredData("id", entries = stored.toList()),
                    setOf("a", "b", "c"),
                    random = Random(1),
                    now = Duration.ZERO,
                )

            init {
                receive(ReplicaMessage.Append(entries.last().term, 1, 1, entries, commit, 1)).matchIndex shouldBe entries.last().index
                core.commitIndex shouldBe commit
            }

            /** Handles [message], applies its effects to [stored] as [FileStorage] does, and returns the reply. */
            fun receive(message: ReplicaMessage): ReplicaMessage.AppendReply {
                val output = core.receive(leader, message, Duration.ZERO)
                if (output.install != null) stored.clear()
                output.truncateFrom?.let { from -> stored.removeAll { it.index >= from } }
                stored += output.append
                return output.messages.single().message as ReplicaMessage.AppendReply
            }
        }

        describe("a follower that receives a snapshot which its log matches") {
            val follower = Follower(entries(2L..20L, term = 1), commit = 10)
            val reply = follower.receive(ReplicaMessage.InstallSnapshot(1, snapshot(15, 1), 2))

            it("keeps the acknowledged entries after the snapshot in memory") {
                follower.core.lastIndex shouldBe 20
                follower.core.entriesAfter(15) shouldBe entries(16L..20L, term = 1)
            }

            it("keeps them in its storage") {
                follower.stored.filter { it.index > 15 } shouldBe entries(16L..20L, term = 1)
            }

            it("commits the entries up to the snapshot and acknowledges them") {
                follower.core.commitIndex shouldBe 15
                reply shouldBe ReplicaMessage.AppendReply(1, true, 15, 2)
            }
        }

        describe("a follower that receives a snapshot which conflicts with its log") {
            it("discards its entries after the snapshot") {
                val follower = Follower(entries(2L..20L, term = 1), commit = 10)
                follower.receive(ReplicaMessage.InstallSnapshot(2, snapshot(15, 2), 2)).matchIndex shouldBe 15
                follower.core.lastIndex shouldBe 15
                follower.stored shouldBe emptyList()
            }
        }
    })
