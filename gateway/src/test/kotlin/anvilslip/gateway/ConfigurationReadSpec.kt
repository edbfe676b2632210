package anvilslip.gateway

import anvilslip.kernel.HybridClock
import anvilslip.kernel.SystemClock
import anvilslip.policy.ServingConfiguration
import anvilslip.state.Command
import anvilslip.state.ConfigurationDocument
import anvilslip.state.FileStorage
import anvilslip.state.Outcome
import anvilslip.state.Replica
import anvilslip.state.ReplicaOptions
import anvilslip.state.ReplicaOutput
import anvilslip.state.Storage
import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerNetwork
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a read that is answered with an older document, or with none: the replica may restart from its storage after the read
 * was confirmed and before the coroutine that waits for the confirmation goes on.
 */
class ConfigurationReadSpec :
    DescribeSpec({
        /** Storage that refuses every write while [isFailing]. */
        class FailingStorage(
            private val storage: Storage,
        ) : Storage by storage {
            @Volatile
            var isFailing = false

            /** Held by a test while nothing is to be written. */
            val lock = ReentrantLock()

            override fun store(output: ReplicaOutput): Unit =
                lock.withLock {
                    check(!isFailing) { "no space left" }
                    storage.store(output)
                }
        }

        /** Runs what is dispatched to it only when the test says so. */
        class HeldDispatcher : CoroutineDispatcher() {
            private val tasks = LinkedBlockingQueue<Runnable>()

            override fun dispatch(
                context: CoroutineContext,
                block: Runnable,
            ) {
                tasks.put(block)
            }

            fun take(): Runnable = checkNotNull(tasks.poll(2, TimeUnit.SECONDS)) { "nothing was dispatched" }

            fun runAll() = generateSequence { tasks.poll() }.forEach { it.run() }
        }

        fun operations(replica: Replica): ControlOperations {
            val dialect = DocumentDialect { ServingConfiguration(1).right() }
            val view = ClusterView(dialect, SystemClock, setOf("a"), 1.seconds)
            val network =
                PeerNetwork(
                    self = "a",
                    listen = PeerAddress("127.0.0.1", 1),
                    peers = emptyMap(),
                    secret = "secret".toByteArray(),
                    clock = SystemClock,
                    hybridClock = HybridClock(SystemClock),
                    acceptsPeer = { true },
                )
            val responder = WatchResponder("a", "x", view, replica::view, SystemClock)
            return ControlOperations(dialect, view, replica, network, responder, emptySet(), SystemClock)
        }

        suspend fun propose(
            replica: Replica,
            document: ConfigurationDocument,
        ) = withTimeout(10.seconds) {
            while (replica.propose(Command.ReplaceDocument(document)) !=
                Outcome.DocumentInForce(document.version).right()
            ) {
                delay(20.milliseconds)
            }
        }

        /** Confirms a read, has the storage fail until the replica shows [versionAfterFailure], and only then lets the reader go on. */
        suspend fun readAcrossFailure(versionAfterFailure: Long?): Long? {
            val storage = FailingStorage(FileStorage(tempdir().toPath()))
            val options = ReplicaOptions(bytesBetweenSnapshots = SNAPSHOT_BYTES)
            val replica = Replica("a", setOf("a"), storage, { _, _ -> }, SystemClock, options)
            replica.start()
            try {
                // The first document is followed by a snapshot, the second is only in the log.
                propose(replica, ConfigurationDocument(1, "x".repeat(SNAPSHOT_BYTES.toInt())))
                propose(replica, ConfigurationDocument(2, "text"))
                val dispatcher = HeldDispatcher()
                val read = CoroutineScope(dispatcher).async { operations(replica).readOnLeader() }
                // The read is not confirmed before it waits for that.
                storage.lock.withLock { dispatcher.take().run() }
                val afterConfirmation = dispatcher.take()
                storage.isFailing = true
                replica.propose(Command.ReadBarrier)
                withTimeout(5.seconds) {
                    while (replica.view.state.document
                            ?.version != versionAfterFailure
                    ) {
                        delay(1.milliseconds)
                    }
                }
                afterConfirmation.run()
                dispatcher.runAll()
                return read.await().getOrNull()?.version
            } finally {
                replica.stop()
            }
        }

        describe("a read that was confirmed before the storage failed") {
            it("is answered with the newest document while the replica is suspended") {
                readAcrossFailure(versionAfterFailure = null) shouldBe 2
            }

            it("is answered with the newest document after the replica has restarted from an older snapshot") {
                readAcrossFailure(versionAfterFailure = 1) shouldBe 2
            }
        }
    }) {
    private companion object {
        const val SNAPSHOT_BYTES = 10_000L
    }
}
