package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val MEGABYTE = 1024 * 1024

/** Guards against large entries being sent, or kept, beyond what the memory of an instance holds. */
class ReplicationLimitsSpec :
    DescribeSpec({
        val ids = listOf("a", "b", "c").map { ReplicaId(it, "id") }
        val (leaderId, first, second) = ids
        val now = 10.seconds

        fun document(version: Long) = Payload.Apply(Command.ReplaceDocument(ConfigurationDocument(version, "x".repeat(MEGABYTE))), 0)

        /** A leader whose followers have acknowledged all entries up to its first one. */
        fun leader(options: ReplicaOptions): ReplicaCore {
            val recovered = RecoveredData("id", entries = listOf(LogEntry(1, 1, Payload.Membership(ids.toSet()))), vote = Vote(1))
            val core = ReplicaCore(leaderId, recovered, setOf("a", "b", "c"), options, Random(1), now - 5.seconds)
            core.tick(now)
            core.receive(first, ReplicaMessage.VoteReply(core.term, granted = true, preVote = true), now)
            core.receive(first, ReplicaMessage.VoteReply(core.term, granted = true, preVote = false), now)
            for (follower in listOf(
                first,
                second,
            )) {
                core.receive(follower, ReplicaMessage.AppendReply(core.term, true, core.lastIndex, 0), now)
            }
            return core
        }

        fun entriesFor(
            replica: ReplicaId,
            output: ReplicaOutput,
        ) = output.messages.filter { it.to == replica }.flatMap { (it.message as ReplicaMessage.Append).entries }

        describe("a follower that acknowledges nothing") {
            val options = ReplicaOptions(maxBytesPerAppend = 1L * MEGABYTE, maxUnacknowledgedBytes = 4L * MEGABYTE)

            it("is sent no more bytes than the limit and the entry that exceeds it, and the rest once it acknowledges") {
                val core = leader(options)
                val last = core.lastIndex
                val sent = (1L..20L).flatMap { entriesFor(second, core.propose(listOf(document(it)), now)) }
                sent.size shouldBeLessThanOrEqual 5
                val rest = core.receive(second, ReplicaMessage.AppendReply(core.term, true, sent.last().index, 0), now)
                entriesFor(second, rest).first().index shouldBe sent.last().index + 1
                sent.first().index shouldBe last + 1
            }

            it("is sent the entries that it lacks again") {
                val core = leader(options)
                val sent = (1L..20L).flatMap { entriesFor(second, core.propose(listOf(document(it)), now)) }
                val rejected = core.receive(second, ReplicaMessage.AppendReply(core.term, false, sent.first().index - 1, 0), now)
                entriesFor(second, rejected).first() shouldBe sent.first()
            }

            it("makes the log full at some size, and has room again once the entries are committed") {
                val core = leader(ReplicaOptions(maxLogBytes = 8L * MEGABYTE, bytesBetweenSnapshots = 1L * MEGABYTE, retainedBytes = 0))
                for (version in 1L..8L) core.propose(listOf(document(version)), now)
                core.isLogFull shouldBe true
                core.receive(first, ReplicaMessage.AppendReply(core.term, true, core.lastIndex, 0), now)
                core.snapshotIfDue()!!.index shouldBe core.lastIndex
                core.isLogFull shouldBe false
            }
        }

        describe("a message to a follower") {
            it("holds no more bytes than the limit, but at least one entry") {
                val core =
                    leader(ReplicaOptions(maxBytesPerAppend = 2L * MEGABYTE + MEGABYTE / 2, maxUnacknowledgedBytes = 100L * MEGABYTE))
                val output = core.propose((1L..6L).map(::document), now)
                val message = output.messages.single { it.to == second }.message
                message.contentBytes.toLong() shouldBeLessThanOrEqual 2L * MEGABYTE + MEGABYTE / 2
                entriesFor(second, output).size shouldBe 2
                entriesFor(second, leader(ReplicaOptions(maxBytesPerAppend = 10)).propose(listOf(document(1)), now)).size shouldBe 1
            }
        }

        describe("entries that a snapshot covers") {
            val log = ReplicaLog(RecoveredData("id", entries = (1L..10L).map { LogEntry(it, 1, document(it)) }))

            it("are dropped except for as many as fit into the limit in bytes") {
                log.compact(Snapshot(9, 1, ids.toSet(), ReplicatedState()), kept = 5, keptBytes = 3L * MEGABYTE)
                log.firstIndex shouldBe 8
                log.lastIndex shouldBe 10
            }
        }

        describe("batches of entries") {
            it("follow each other without a gap, each within the limit or of a single entry") {
                val entries = (1L..7L).map { LogEntry(it, 1, if (it == 4L) document(it) else Payload.Noop) }
                entries.batches(maxBytes = 600).map { batch -> batch.map { it.index } }.toList() shouldBe
                    listOf(listOf(1L, 2L), listOf(3L), listOf(4L), listOf(5L, 6L), listOf(7L))
                emptyList<LogEntry>().batches(maxBytes = 600).toList() shouldBe emptyList()
            }
        }
    })
