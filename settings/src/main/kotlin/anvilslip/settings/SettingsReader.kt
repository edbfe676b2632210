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

/** Reads and checks the settings of an instance; all findings are reported together. */
public class SettingsReader {
    private val findings = Findings()

    /** The settings in [file]; paths in it are relative to its folder. */
    public fun read(file: Path): Either<List<Finding>, Settings> = SettingsSource(findings).read(file, ::settings)

    /** The settings in [text], which came from [source]; paths are relative to [folder]. */
    public fun read(
        text: String,
        source: String,
        folder: Path,
    ): Either<List<Finding>, Settings> = SettingsSource(findings).read(text, source, folder, ::settings)

    private fun settings(
        root: ObjectReader,
        folder: Path,
    ): Settings? {
        val defaults = Settings("", NOWHERE, NOWHERE, NOWHERE, emptyList(), folder)
        val name = root.text("instance")
        val callers = address(root, "callers")
        val operators = address(root, "operators")
        val announcements = address(root, "announcements")
        val instances = root.objects("instances").mapNotNull(::instance)
        val secret = root.text("secretFile")?.let { folder.resolve(it) }
        secret?.let { checkSecret(it, root.placeOf("secretFile")) }
        val token = root.optionalText("operatorTokenFile")?.let { folder.resolve(it) }
        token?.let { checkReadable(it, root.placeOf("operatorTokenFile")) }
        val data = root.optionalText("dataFolder")?.let { folder.resolve(it) }
        data?.let { checkFolder(it, root.placeOf("dataFolder")) }
        val poll = root.duration("pollInterval", 50.milliseconds..1.seconds, defaults.pollInterval)
        val staleness = root.duration("maxStaleness", 500.milliseconds..5.seconds, defaults.maxStaleness)
        findings.check(staleness >= poll * 2, root.placeOf("maxStaleness")) { "must be at least twice pollInterval" }
        val weightStore = root.optionalObj("weightStore")?.let(::weightStore) ?: defaults.weightStore
        val requests = root.optionalObj("requests")?.let(::requests) ?: defaults.requests
        root.finish()
        checkInstances(root, name, instances, data)
        checkClashes(root, listOf("callers" to callers, "operators" to operators, "announcements" to announcements), instances, name)
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

    private fun address(
        parent: ObjectReader,
        key: String,
    ): Address? {
        val reader = parent.obj(key) ?: return null
        val host = reader.text("host")
        val port = reader.int("port", 1..MAX_PORT)
        reader.finish()
        return if (host != null && port != null) Address(host, port) else null
    }

    private fun instance(reader: ObjectReader): InstanceSettings? {
        val name = reader.text("name")
        val zone = reader.text("zone")
        val peers = address(reader, "peers")
        val replica = reader.bool("replica", false)
        reader.finish()
        findings.check(name == null || NAME.matches(name), reader.placeOf("name")) { "must match ${NAME.pattern}" }
        return if (name != null && zone != null && peers != null) InstanceSettings(name, zone, peers, replica) else null
    }

    private fun weightStore(reader: ObjectReader): WeightStoreSettings {
        val defaults = WeightStoreSettings()
        val rate = reader.double("loadsPerSecond", MIN_LOADS_PER_SECOND..MAX_LOADS_PER_SECOND, defaults.loadsPerSecond)
        val inFlight = reader.int("maxLoadsInFlight", 1..MAX_LOADS_IN_FLIGHT, defaults.maxLoadsInFlight)!!
        reader.finish()
        return WeightStoreSettings(rate, inFlight)
    }

    private fun requests(reader: ObjectReader): RequestSettings {
        val defaults = RequestSettings()
        val read =
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
        reader.finish()
        return read
    }

    private fun checkInstances(
        root: ObjectReader,
        name: String?,
        instances: List<InstanceSettings>,
        data: Path?,
    ) {
        val place = root.placeOf("instances")
        val repeated = instances.groupBy { it.name }.filterValues { it.size > 1 }.keys
        findings.check(repeated.isEmpty(), place) { "names stand twice: ${repeated.joinToString()}" }
        findings.check(instances.any { it.replica }, place) { "no instance is a replica, so nothing would store the state" }
        if (name == null) return
        val self = instances.firstOrNull { it.name == name }
        findings.check(self != null, root.placeOf("instance")) { "'$name' is not among the instances" }
        if (self?.replica == true) findings.check(data != null, root.placeOf("dataFolder")) { "is needed, since '$name' is a replica" }
    }

    private fun checkClashes(
        root: ObjectReader,
        own: List<Pair<String, Address?>>,
        instances: List<InstanceSettings>,
        name: String?,
    ) {
        val peers = instances.map { "instances.${it.name}.peers" to it.peers }
        val all = own.mapNotNull { (key, address) -> address?.let { key to it } } + peers
        for ((address, uses) in all.groupBy({ it.second }, { it.first }).filterValues { it.size > 1 }) {
            val key = uses.firstOrNull { use -> own.any { it.first == use } } ?: "instances"
            findings.add(root.placeOf(key), "address $address is used for ${uses.joinToString(" and ")} of '$name'")
        }
    }

    private fun checkSecret(
        file: Path,
        place: Place,
    ) {
        if (!checkReadable(file, place)) return
        findings.check(file.fileSize() >= MIN_SECRET_BYTES, place) { "$file holds less than $MIN_SECRET_BYTES bytes" }
    }

    private fun checkReadable(
        file: Path,
        place: Place,
    ): Boolean {
        val readable = file.exists() && file.isReadable() && !file.isDirectory()
        findings.check(readable, place) { "$file cannot be read" }
        return readable
    }

    private fun checkFolder(
        folder: Path,
        place: Place,
    ) {
        val existing = generateSequence(folder.toAbsolutePath()) { it.parent }.first { it.exists() }
        val usable = existing.isDirectory() && existing.isWritable() && Files.isReadable(existing)
        findings.check(usable, place) { "$folder cannot be read and written" }
    }

    private companion object {
        val NOWHERE = Address("", 0)
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
        const val MAX_PORT = 65_535
        const val MIN_SECRET_BYTES = 16
        const val MIN_LOADS_PER_SECOND = 0.01
        const val MAX_LOADS_PER_SECOND = 10_000.0
        const val MAX_LOADS_IN_FLIGHT = 10_000
    }
}
