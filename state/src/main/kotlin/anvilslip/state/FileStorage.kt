package anvilslip.state

import anvilslip.state.RecordCodec.Decoded
import java.io.IOException
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.UUID
import kotlin.io.path.exists
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText

/**
 * [Storage] in a data folder with the files `identity`, `snapshot` and `log-N`; the log file with the highest number is in use.
 *
 * Each log file starts with the vote and the entries after the snapshot, so older log files are deleted once it is synced.
 * A torn last write, as left by a crash, is truncated after its last complete record. Any other damage raises [StorageException], and a
 * record that only another build can read raises [UnknownRecordException].
 *
 * @param onSync called after each sync of the log
 */
public class FileStorage internal constructor(
    private val folder: Path,
    private val onSync: () -> Unit,
    private val operations: FolderOperations,
) : Storage {
    public constructor(folder: Path, onSync: () -> Unit = {}) : this(folder, onSync, LocalFolderOperations)

    private val buffer = StorageBuffer()
    private var log: FileChannel? = null
    private var vote = Vote()
    private var generation = 0L

    override fun recover(): RecoveredData =
        wrapIoErrors("recover") {
            Files.createDirectories(folder)
            val identity = readIdentity()
            val snapshot = readSnapshot()
            val files = logFiles()
            val contents = files.lastOrNull()?.let(::readLog) ?: LogContents()
            generation = files.lastOrNull()?.let(::generationOf) ?: 0
            log = FileChannel.open(logPath(generation), StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND)
            // A killed process may have left data unsynced. From now on the replica relies on it, so it must be durable.
            log?.force(true)
            operations.sync(folder)
            files.dropLast(1).forEach(operations::delete)
            vote = contents.vote
            val entries = contents.entries.filter { it.index > (snapshot?.index ?: 0) }
            checkContiguous(snapshot, entries)
            RecoveredData(identity, snapshot, entries, contents.vote)
        }

    override fun store(output: ReplicaOutput): Unit =
        wrapIoErrors("store") {
            output.vote?.let { vote = it }
            val installed = output.install
            if (installed != null) {
                compactTo(installed, emptyList())
            } else {
                val before = listOfNotNull(output.truncateFrom?.let(StoredRecord::Truncate))
                append(before.asSequence() + entryRecords(output.append) + listOfNotNull(output.vote?.let(StoredRecord::Voted)))
            }
        }

    override fun compact(
        snapshot: Snapshot,
        tail: List<LogEntry>,
    ): Unit = wrapIoErrors("compact") { compactTo(snapshot, tail) }

    override fun close() {
        log?.close()
        log = null
    }

    private class LogContents(
        val vote: Vote = Vote(),
        val entries: List<LogEntry> = emptyList(),
    )

    private fun <T> wrapIoErrors(
        operation: String,
        action: () -> T,
    ): T =
        try {
            action()
        } catch (e: IOException) {
            throw StorageException("$operation failed in $folder: ${e.message}", e)
        }

    private fun compactTo(
        snapshot: Snapshot,
        tail: List<LogEntry>,
    ) {
        replaceFile("snapshot", RecordCodec.encode(Snapshot.serializer(), snapshot))
        val previous = log
        val previousPath = logPath(generation)
        generation++
        val next = logPath(generation)
        replaceFile(next.name, encode(sequenceOf(StoredRecord.Voted(vote)) + entryRecords(tail)))
        log = FileChannel.open(next, StandardOpenOption.WRITE, StandardOpenOption.APPEND)
        previous?.close()
        operations.delete(previousPath)
    }

    private fun append(records: Sequence<StoredRecord>) {
        val channel = checkNotNull(log) { "storage is closed" }
        buffer.append(channel, encode(records)) {
            channel.force(false)
            onSync()
        }
    }

    /** Records of limited size, each of which is encoded only when its turn comes, so that a long list does not take twice its size. */
    private fun entryRecords(entries: List<LogEntry>): Sequence<StoredRecord> =
        entries.batches(ENTRY_RECORD_BYTES).map { StoredRecord.Entries(it) }

    private fun encode(records: Sequence<StoredRecord>): Sequence<ByteArray> =
        records.flatMap { RecordCodec.encode(StoredRecord.serializer(), it) }

    private fun readIdentity(): String {
        val path = folder.resolve(IDENTITY_FILE)
        if (path.exists()) return path.readText().trim()
        val identity = UUID.randomUUID().toString()
        replaceFile(IDENTITY_FILE, sequenceOf(identity.toByteArray()))
        return identity
    }

    private fun readSnapshot(): Snapshot? {
        val path = folder.resolve("snapshot")
        if (!path.exists()) return null
        return when (val decoded = buffer.read(path) { RecordCodec.decode(Snapshot.serializer(), it) }) {
            is Decoded.Complete -> decoded.value
            Decoded.Damaged, Decoded.Torn -> throw StorageException("$path is damaged")
            is Decoded.Unknown -> throw unknownRecord(path, 0, decoded)
        }
    }

    private fun unknownRecord(
        path: Path,
        position: Long,
        record: Decoded.Unknown,
    ) = UnknownRecordException("this build cannot read the record at byte $position of $path: ${record.reason}")

    private fun readLog(path: Path): LogContents = buffer.read(path) { readRecords(it, path) }

    private fun readRecords(
        file: StoredFile,
        path: Path,
    ): LogContents {
        var vote = Vote()
        val entries = ArrayList<LogEntry>()
        while (file.remaining > 0) {
            val start = file.position
            when (val decoded = RecordCodec.decode(StoredRecord.serializer(), file)) {
                is Decoded.Complete -> vote = applyRecord(decoded.value, entries) ?: vote
                Decoded.Torn -> return LogContents(vote, entries).also { truncateFile(path, start) }
                Decoded.Damaged -> throw StorageException("$path is damaged at byte $start")
                is Decoded.Unknown -> throw unknownRecord(path, start, decoded)
            }
        }
        return LogContents(vote, entries)
    }

    private fun applyRecord(
        record: StoredRecord,
        entries: MutableList<LogEntry>,
    ): Vote? {
        when (record) {
            is StoredRecord.Voted -> return record.vote
            is StoredRecord.Entries -> entries += record.entries
            is StoredRecord.Truncate -> entries.removeAll { it.index >= record.from }
        }
        return null
    }

    private fun truncateFile(
        path: Path,
        length: Long,
    ) {
        FileChannel.open(path, StandardOpenOption.WRITE).use {
            it.truncate(length)
            it.force(true)
        }
    }

    private fun checkContiguous(
        snapshot: Snapshot?,
        entries: List<LogEntry>,
    ) {
        val first = (snapshot?.index ?: 0) + 1
        val contiguous = entries.withIndex().all { (i, entry) -> entry.index == first + i }
        if (!contiguous) throw StorageException("the log in $folder has a gap after entry ${first - 1}")
    }

    private fun logFiles(): List<Path> = folder.listDirectoryEntries("log-*").filter { !it.name.endsWith(".tmp") }.sortedBy(::generationOf)

    private fun generationOf(path: Path): Long = path.name.removePrefix("log-").toLong()

    private fun logPath(generation: Long): Path = folder.resolve("log-$generation")

    private fun replaceFile(
        name: String,
        content: Sequence<ByteArray>,
    ) {
        val temporary = folder.resolve("$name.tmp")
        FileChannel
            .open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)
            .use { file -> buffer.append(file, content) { file.force(true) } }
        operations.move(temporary, folder.resolve(name))
        operations.sync(folder)
    }

    internal companion object {
        /** Name of the file with the identity of the replica. */
        const val IDENTITY_FILE = "identity"
        private const val ENTRY_RECORD_BYTES = 1024L * 1024
    }
}
