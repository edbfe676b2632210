package anvilslip.state

import anvilslip.kernel.SystemClock
import arrow.core.right
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.nio.file.Path
import kotlin.io.path.fileSize
import kotlin.io.path.listDirectoryEntries
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReplicaSpec :
    DescribeSpec({
        /** Storage in [folder] whose next write fails with [failure], once. */
        class FailingStorage(
            folder: Path,
            private val storage: Storage = FileStorage(folder),
        ) : Storage by storage {
            @Volatile
            var failure: Throwable? = null

            /** Failure of the next attempt to read what is stored. */
            @Volatile
            var recoveryFailure: Throwable? = null

            override fun recover(): RecoveredData {
                recoveryFailure?.let {
                    recoveryFailure = null
                    throw it
                }
                return storage.recover()
            }

            override fun store(output: ReplicaOutput) {
                failure?.let {
                    failure = null
                    throw it
                }
                storage.store(output)
            }
        }

        suspend fun <T> withReplica(
            storage: Storage,
            options: ReplicaOptions = ReplicaOptions(),
            action: suspend (Replica) -> T,
        ): T {
            val replica = Replica("a", setOf("a"), storage, { _, _ -> }, SystemClock, options)
            replica.start()
            try {
                return action(replica)
            } finally {
                replica.stop()
            }
        }

        suspend fun propose(
            replica: Replica,
            command: Command = Command.ReadBarrier,
        ): Boolean =
            withTimeoutOrNull(10.seconds) {
                while (replica.propose(command) != Outcome.Done.right()) delay(20.milliseconds)
            } != null

        describe("a replica whose step fails unexpectedly") {
            // Guards against a process that goes on without its replica, and answers no change and no read any more.
            it("restarts from its storage and serves again") {
                val storage = FailingStorage(tempdir().toPath())
                withReplica(storage) { replica ->
                    propose(replica) shouldBe true
                    storage.failure = IllegalStateException("unexpected")
                    propose(replica) shouldBe true
                }
            }
        }

        describe("a replica whose storage or restart fails with something other than an exception of the storage") {
            it("restarts from its storage and serves again after an error while it reads what is stored") {
                val storage = FailingStorage(tempdir().toPath())
                withReplica(storage) { replica ->
                    propose(replica) shouldBe true
                    storage.recoveryFailure = AssertionError("unexpected")
                    storage.failure = IllegalStateException("unexpected")
                    propose(replica) shouldBe true
                }
            }

            // A cancellation that does not come from the replica's own coroutine would end it without a line in the log.
            it("restarts after a call that was cancelled elsewhere") {
                val storage = FailingStorage(tempdir().toPath())
                withReplica(storage) { replica ->
                    propose(replica) shouldBe true
                    storage.failure = CancellationException("elsewhere")
                    propose(replica) shouldBe true
                }
            }
        }

        describe("a replica that starts again after all processes have ended") {
            // Guards against withdrawn keys, raised limits and quarantined requests that come back with the memory of the processes gone.
            it("knows what was committed before: the newest document, versions and quarantines") {
                val folder = tempdir().toPath()
                val adapter = AdapterName("m", "a")
                withReplica(FileStorage(folder)) { replica ->
                    propose(replica) shouldBe true
                    for (version in 1L..2L) {
                        replica.propose(Command.ReplaceDocument(ConfigurationDocument(version, "text $version"))).isRight() shouldBe true
                    }
                    replica.propose(Command.NameVersion("m", "a", 7)).isRight() shouldBe true
                    replica.propose(Command.UpdateQuarantines(mapOf("r" to setOf("s@1")), emptySet())).isRight() shouldBe true
                }
                withReplica(FileStorage(folder)) { replica ->
                    propose(replica) shouldBe true
                    val state = replica.view.state
                    state.document shouldBe ConfigurationDocument(2, "text 2")
                    state.namedVersions[adapter] shouldBe 7L
                    state.quarantines["r"] shouldBe setOf("s@1")
                }
            }
        }

        describe("a replica that applies large documents") {
            // Guards against a log that grows by the size of every change until neither the memory nor the disk holds it.
            it("keeps its log within the limits in bytes") {
                val folder = tempdir().toPath()
                val megabyte = 1024 * 1024
                val options = ReplicaOptions(bytesBetweenSnapshots = 4L * megabyte, retainedBytes = 2L * megabyte)
                withReplica(FileStorage(folder), options) { replica ->
                    propose(replica) shouldBe true
                    for (version in 1L..20L) {
                        val document = ConfigurationDocument(version, "x".repeat(megabyte))
                        replica.propose(Command.ReplaceDocument(document)) shouldBe Outcome.DocumentInForce(version).right()
                    }
                }
                folder.listDirectoryEntries("log-*").single().fileSize() shouldBeLessThan 6L * megabyte
            }
        }
    })
