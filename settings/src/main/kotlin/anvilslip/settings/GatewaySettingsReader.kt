package anvilslip.settings

import anvilslip.kernel.Finding
import anvilslip.kernel.Findings
import arrow.core.Either
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** Reads and validates [GatewaySettings], and reports all findings at once. Use a new reader for each file. */
public class GatewaySettingsReader {
    private val findings = Findings()

    /**
     * Findings that do not prevent a start: unknown keys. During an upgrade the template of another build may have filled in the file, and a
     * process that did not start because of it would be missing while both builds run.
     */
    public var warnings: List<Finding> = emptyList()
        private set

    /** Reads settings from [file]; relative paths are resolved against its folder. */
    public fun read(file: Path): Either<List<Finding>, GatewaySettings> = SettingsSource(findings).read(file, ::readSettings)

    /** Reads settings from [text]; [source] names the text in findings, relative paths are resolved against [folder]. */
    public fun read(
        text: String,
        source: String,
        folder: Path,
    ): Either<List<Finding>, GatewaySettings> = SettingsSource(findings).read(text, source, folder, ::readSettings)

    private fun readSettings(
        root: ObjectReader,
        folder: Path,
    ): GatewaySettings {
        val defaults = GatewaySettings("", "", "", "", 0, 0, emptySet())
        val peerPort = root.int("peerPort", PORTS) ?: 0
        val metricsPort = root.int("metricsPort", PORTS) ?: 0
        val clients = readAddress(root, "clients")
        val readiness = readAddress(root, "readiness")
        val control = readAddress(root, "control")
        val directory = readAddress(root, "directory")
        val usedPorts = setOf(peerPort, metricsPort) + listOfNotNull(clients, readiness, control, directory).map { it.port }
        val settings =
            GatewaySettings(
                instance = root.string("instance").orEmpty(),
                host = root.string("host").orEmpty(),
                zone = root.string("zone").orEmpty(),
                region = root.string("region").orEmpty(),
                peerPort = peerPort,
                metricsPort = metricsPort,
                seeds = root.strings("seeds").map { it.substringBefore(':') }.toSet(),
                clients = clients,
                readiness = readiness,
                control = control,
                directory = directory,
                dataFolder = root.optionalString("dataFolder")?.let { folder.resolve(it) },
                mayFound = root.bool("mayFound", defaults.mayFound),
                toleratedLosses = root.int("toleratedLosses", 0..MAX_TOLERATED_LOSSES, defaults.toleratedLosses)!!,
                secretFile = root.optionalString("secretFile")?.let { folder.resolve(it) },
                heartbeat = readDuration(root, "heartbeat", defaults.heartbeat),
                shutdownTime = readDuration(root, "shutdownTime", defaults.shutdownTime),
                resolveLifetime = readDuration(root, "resolveLifetime", defaults.resolveLifetime),
                retryWindow = readDuration(root, "retryWindow", defaults.retryWindow),
                retryShare = root.double("retryShare", 0.0..1.0, defaults.retryShare),
                retryReserve = root.double("retryReserve", 0.0..MAX_RETRY_RESERVE, defaults.retryReserve),
                orderPause = readDuration(root, "orderPause", defaults.orderPause),
                coldOvershoot = root.double("coldOvershoot", 0.0..MAX_COLD_OVERSHOOT, defaults.coldOvershoot),
                coldSlack = root.double("coldSlack", 0.0..MAX_COLD_SLACK, defaults.coldSlack),
                fencingChecked = root.bool("fencingChecked", defaults.fencingChecked),
                capacity = root.double("capacity", CAPACITIES, defaults.capacity),
                delegateLoads = root.bool("delegateLoads", defaults.delegateLoads),
                queueFromEngines = root.int("queueFromEngines", 0..MAX_ENGINES, defaults.queueFromEngines)!!,
                relayPort = root.int("relayPort", PORTS, firstFreePort(peerPort, usedPorts)),
                zones = root.names("zones"),
            )
        warnings = root.unknownKeys()
        findings.check(settings.seeds.isNotEmpty(), root.placeOf("seeds")) { "must name at least one control instance" }
        findings.check(settings.clients != null || settings.control != null, root.place) { "needs 'clients' or 'control'" }
        findings.check(settings.control == null || settings.dataFolder != null, root.placeOf("dataFolder")) { "is needed for 'control'" }
        findings.check(settings.peerPort != settings.metricsPort, root.placeOf("metricsPort")) { "is the same as peerPort" }
        findings.check(settings.relayPort !in setOf(settings.peerPort, settings.metricsPort), root.placeOf("relayPort")) { "is in use" }
        return settings
    }

    /** The first port after [peerPort] that is not one of [usedPorts]. */
    private fun firstFreePort(
        peerPort: Int,
        usedPorts: Set<Int>,
    ): Int = generateSequence(peerPort + 1) { it + 1 }.first { it !in usedPorts }

    private fun readAddress(
        root: ObjectReader,
        key: String,
    ): Address? {
        val text = root.optionalString(key) ?: return null
        val port = text.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in PORTS) findings.add(root.placeOf(key), "expected host:port, not '$text'")
        return port?.let { Address(text.substringBeforeLast(':'), it) }
    }

    private fun readDuration(
        root: ObjectReader,
        key: String,
        default: Duration,
    ): Duration = root.duration(key, 1.milliseconds..24.hours, default)

    private companion object {
        val PORTS = 1..65_535
        const val MAX_TOLERATED_LOSSES = 10
        const val MAX_RETRY_RESERVE = 1e6
        const val MAX_ENGINES = 100_000
        val CAPACITIES = 0.001..1e6
        const val MAX_COLD_OVERSHOOT = 1e3
        const val MAX_COLD_SLACK = 1e6
    }
}
