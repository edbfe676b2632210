package anvilslip.settings

import anvilslip.kernel.Finding
import anvilslip.kernel.Findings
import anvilslip.kernel.Place
import arrow.core.Either
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.fileSize
import kotlin.io.path.isDirectory
import kotlin.io.path.isReadable
import kotlin.io.path.isWritable
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Reads and validates the [Settings] of an instance, and reports all findings at once. Use a new reader for each file. */
public class SettingsReader {
    private val findings = Findings()

    /** Reads settings from [file]; relative paths are resolved against its folder. */
    public fun read(file: Path): Either<List<Finding>, Settings> = SettingsSource(findings).read(file, ::readSettings)

    /** Reads settings from [text]; [source] names the text in findings, relative paths are resolved against [folder]. */
    public fun read(
        text: String,
        source: String,
        folder: Path,
    ): Either<List<Finding>, Settings> = SettingsSource(findings).read(text, source, folder, ::readSettings)

    private fun readSettings(
        root: ObjectReader,
        folder: Path,
    ): Settings? {
        val defaults = Settings("", PLACEHOLDER_ADDRESS, PLACEHOLDER_ADDRESS, PLACEHOLDER_ADDRESS, emptyList(), folder)
        val name = root.string("instance")
        val callers = readAddress(root, "callers")
        val operators = readAddress(root, "operators")
        val announcements = readAddress(root, "announcements")
        val instances = root.objects("instances").mapNotNull(::readInstance)
        val secret = root.string("secretFile")?.let { folder.resolve(it) }
        secret?.let { checkSecret(it, root.placeOf("secretFile")) }
        val token = root.optionalString("operatorTokenFile")?.let { folder.resolve(it) }
        token?.let { checkReadable(it, root.placeOf("operatorTokenFile")) }
        val data = root.optionalString("dataFolder")?.let { folder.resolve(it) }
        data?.let { checkDataFolder(it, root.placeOf("dataFolder")) }
        val poll = root.duration("pollInterval", 50.milliseconds..1.seconds, defaults.pollInterval)
        val staleness = root.duration("maxStaleness", 500.milliseconds..5.seconds, defaults.maxStaleness)
        findings.check(staleness >= poll * 2, root.placeOf("maxStaleness")) { "must be at least twice pollInterval" }
        val weightStore = root.optionalObject("weightStore")?.let(::readWeightStore) ?: defaults.weightStore
        val requests = root.optionalObject("requests")?.let(::readRequests) ?: defaults.requests
        root.reportUnknownKeys()
        checkInstances(root, name, instances, data)
        checkAddresses(root, listOf("callers" to callers, "operators" to operators, "announcements" to announcements), instances, name)
        if (name == null || callers == null || operators == null || announcements == null || secret == null) return null
        return Settings(
            instance = name,
            callers = callers,
            operators = operators,
            announcements = announcements,
            instances = instances,
            secretFile = secret,
            operatorTokenFile = token,
            dataFolder = data,
            pollInterval = poll,
            maxStaleness = staleness,
            weightStore = weightStore,
            requests = requests,
        )
    }

    private fun readAddress(
        parent: ObjectReader,
        key: String,
    ): Address? {
        val reader = parent.requiredObject(key) ?: return null
        val host = reader.string("host")
        val port = reader.int("port", 1..MAX_PORT)
        reader.reportUnknownKeys()
        return if (host != null && port != null) Address(host, port) else null
    }

    private fun readInstance(reader: ObjectReader): InstanceSettings? {
        val name = reader.string("name")
        val zone = reader.string("zone")
        val peers = readAddress(reader, "peers")
        val replica = reader.bool("replica", false)
        reader.reportUnknownKeys()
        findings.check(name == null || INSTANCE_NAME.matches(name), reader.placeOf("name")) { "must match ${INSTANCE_NAME.pattern}" }
        return if (name != null && zone != null && peers != null) InstanceSettings(name, zone, peers, replica) else null
    }

    private fun readWeightStore(reader: ObjectReader): WeightStoreSettings {
        val defaults = WeightStoreSettings()
        val rate = reader.double("loadsPerSecond", MIN_LOADS_PER_SECOND..MAX_LOADS_PER_SECOND, defaults.loadsPerSecond)
        val inFlight = reader.int("maxLoadsInFlight", 1..MAX_LOADS_IN_FLIGHT, defaults.maxLoadsInFlight)!!
        reader.reportUnknownKeys()
        return WeightStoreSettings(rate, inFlight)
    }

    private fun readRequests(reader: ObjectReader): RequestSettings {
        val defaults = RequestSettings()
        val requests =
            RequestSettings(
                maxBodyBytes = reader.int("maxBodyBytes", 1_024..64 * 1_024 * 1_024, defaults.maxBodyBytes)!!,
                maxHeaderBytes = reader.int("maxHeaderBytes", 1_024..1_024 * 1_024, defaults.maxHeaderBytes)!!,
                maxJsonDepth = reader.int("maxJsonDepth", 4..512, defaults.maxJsonDepth)!!,
                receiveTimeout = reader.duration("receiveTimeout", 100.milliseconds..5.minutes, defaults.receiveTimeout),
                backendSilence = reader.duration("backendSilence", 100.milliseconds..5.minutes, defaults.backendSilence),
                requestTimeout = reader.duration("requestTimeout", 1.seconds..60.minutes, defaults.requestTimeout),
                defaultMaxTokens = reader.int("defaultMaxTokens", 1..1_000_000, defaults.defaultMaxTokens)!!,
                resolveLifetime = reader.duration("resolveLifetime", 100.milliseconds..5.minutes, defaults.resolveLifetime),
            )
        reader.reportUnknownKeys()
        return requests
    }

    private fun checkInstances(
        root: ObjectReader,
        name: String?,
        instances: List<InstanceSettings>,
        data: Path?,
    ) {
        val place = root.placeOf("instances")
        val repeated = instances.groupBy { it.name }.filterValues { it.size > 1 }.keys
        findings.check(repeated.isEmpty(), place) { "repeated instance names: ${repeated.joinToString()}" }
        findings.check(instances.any { it.replica }, place) { "no instance is a replica; at least one must store the state" }
        if (name == null) return
        val self = instances.firstOrNull { it.name == name }
        findings.check(self != null, root.placeOf("instance")) { "no instance is named '$name'" }
        if (self?.replica == true) findings.check(data != null, root.placeOf("dataFolder")) { "is required because '$name' is a replica" }
    }

    private fun checkAddresses(
        root: ObjectReader,
        ownAddresses: List<Pair<String, Address?>>,
        instances: List<InstanceSettings>,
        name: String?,
    ) {
        val peers = instances.map { "instances.${it.name}.peers" to it.peers }
        val all = ownAddresses.mapNotNull { (key, address) -> address?.let { key to it } } + peers
        for ((address, uses) in all.groupBy({ it.second }, { it.first }).filterValues { it.size > 1 }) {
            val key = uses.firstOrNull { use -> ownAddresses.any { it.first == use } } ?: "instances"
            findings.add(root.placeOf(key), "address $address is used for ${uses.joinToString(" and ")} of '$name'")
        }
    }

    private fun checkSecret(
        file: Path,
        place: Place,
    ) {
        if (!checkReadable(file, place)) return
        findings.check(file.fileSize() >= MIN_SECRET_BYTES, place) { "$file is shorter than $MIN_SECRET_BYTES bytes" }
    }

    private fun checkReadable(
        file: Path,
        place: Place,
    ): Boolean {
        val readable = file.exists() && file.isReadable() && !file.isDirectory()
        findings.check(readable, place) { "$file cannot be read" }
        return readable
    }

    private fun checkDataFolder(
        folder: Path,
        place: Place,
    ) {
        val existing = generateSequence(folder.toAbsolutePath()) { it.parent }.first { it.exists() }
        val usable = existing.isDirectory() && existing.isWritable() && Files.isReadable(existing)
        findings.check(usable, place) { "$folder cannot be created, read or written" }
    }

    private companion object {
        val PLACEHOLDER_ADDRESS = Address("", 0)
        val INSTANCE_NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
        const val MAX_PORT = 65_535
        const val MIN_SECRET_BYTES = 16
        const val MIN_LOADS_PER_SECOND = 0.01
        const val MAX_LOADS_PER_SECOND = 10_000.0
        const val MAX_LOADS_IN_FLIGHT = 10_000
    }
}
