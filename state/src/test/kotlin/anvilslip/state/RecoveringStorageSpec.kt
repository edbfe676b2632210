package anvilslip.state

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.exists
import kotlin.io.path.writeBytes

class RecoveringStorageSpec :
    DescribeSpec({
        fun folder(): Path = Files.createTempDirectory("storage").resolve("data")

        describe("a damaged folder") {
            it("is moved away, and the replica gets a new identity") {
                val folder = folder()
                val identity = FileStorage(folder).use { it.recover().identity }
                folder.resolve("snapshot").writeBytes(ByteArray(40) { 7 })
                var kept: Path? = null
                RecoveringStorage(folder, { _, keptIn -> kept = keptIn }) {}.use { (it.recover().identity == identity) shouldBe false }
                kept!!.resolve("identity").exists() shouldBe true
            }
        }

        describe("a damaged folder whose parent the process may not write to") {
            // Guards against an instance that can never start again, where the data folder is the only one that it may write to.
            it("is cleared within itself, and the damaged files are kept") {
                val folder = folder()
                val identity = FileStorage(folder).use { it.recover().identity }
                folder.resolve("snapshot").writeBytes(ByteArray(40) { 7 })
                var kept: Path? = null
                RecoveringStorage(folder, { _, keptIn -> kept = keptIn }) {}.use { (it.recover().identity == identity) shouldBe false }
                kept!!.parent shouldBe folder
                kept.resolve("snapshot").exists() shouldBe true
                folder.resolve("snapshot").exists() shouldBe false
                FileStorage(folder).use { (it.recover().identity == identity) shouldBe false }
            }
        }

        describe("an I/O error") {
            it("is not treated as a damaged folder") {
                val folder = folder()
                folder.resolve("identity").createDirectories()
                shouldThrow<StorageException> { RecoveringStorage(folder, { _, _ -> error("the folder was moved away") }) {}.recover() }
                folder.exists() shouldBe true
            }
        }
    })
