package anvilslip.settings

import anvilslip.kernel.Finding
import anvilslip.kernel.Findings
import arrow.core.Either
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** Reads and checks [GatewaySettings]; all findings are reported together. */
public class GatewaySettingsReader {
    private val findings = Findings()

    /** The settings in [file]; relative paths in it are resolved against its folder. */
    public fun read(file: Path): Either<List<Finding>, GatewaySettings> = SettingsSource(findings).read(file, ::settings)

    /** The settings in [text], which came from [source]; relative paths are resolved against [folder]. */
    public fun read(
        text: String,
        source: String,
        folder: Path,
    ): Either<List<Finding>, GatewaySettings> = SettingsSource(findings).read(text, source, folder, ::settings)

    private fun settings(
        root: ObjectReader,
        folder: Path,
    ): GatewaySettings {
        val defaults = GatewaySettings("", "", "", "", 0, 0, emptySet())
        val read =
            GatewaySettings(
                instance = root.text("instance").orEmpty(),
                host = root.text("host").orEmpty(),
                zone = root.text("zone").orEmpty(),
                region = root.text("region").orEmpty(),
                peerPort = root.int("peerPort", PORTS) ?: 0,
                metricsPort = root.int("metricsPort", PORTS) ?: 0,
                seeds = root.texts("seeds").map { it.substringBefore(':') }.toSet(),
                clients = address(root, "clients"),
                readiness = address(root, "readiness"),
                control = address(root, "control"),
                directory = address(root, "directory"),
                dataFolder = root.optionalText("dataFolder")?.let { folder.resolve(it) },
                mayFound = root.bool("mayFound", defaults.mayFound),
                toleratedLosses = root.int("toleratedLosses", 0..MAX_LOSSES, defaults.toleratedLosses)!!,
                secretFile = root.optionalText("secretFile")?.let { folder.resolve(it) },
                heartbeat = duration(root, "heartbeat", defaults.heartbeat),
                shutdownTime = duration(root, "shutdownTime", defaults.shutdownTime),
                resolveLifetime = duration(root, "resolveLifetime", defaults.resolveLifetime),
                retryWindow = duration(root, "retryWindow", defaults.retryWindow),
                retryShare = root.double("retryShare", 0.0..1.0, defaults.retryShare),
                retryReserve = root.double("retryReserve", 0.0..MAX_RESERVE, defaults.retryReserve),
                orderPause = duration(root, "orderPause", defaults.orderPause),
                fencingChecked = root.bool("fencingChecked", defaults.fencingChecked),
            )
        root.finish()
        findings.check(read.seeds.isNotEmpty(), root.placeOf("seeds")) { "name at least one control instance" }
        findings.check(read.clients != null || read.control != null, root.place) { "needs 'clients' or 'control'" }
        findings.check(read.control == null || read.dataFolder != null, root.placeOf("dataFolder")) { "is needed for 'control'" }
        findings.check(read.peerPort != read.metricsPort, root.placeOf("metricsPort")) { "is the same as peerPort" }
        return read
    }

    private fun address(
        root: ObjectReader,
        key: String,
    ): Address? {
        val text = root.optionalText(key) ?: return null
        val port = text.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in PORTS) findings.add(root.placeOf(key), "expected host:port, not '$text'")
        return port?.let { Address(text.substringBeforeLast(':'), it) }
    }

    private fun duration(
        root: ObjectReader,
        key: String,
        default: Duration,
    ): Duration = root.duration(key, 1.milliseconds..24.hours, default)

    private companion object {
        val PORTS = 1..65_535
        const val MAX_LOSSES = 10
        const val MAX_RESERVE = 1e6
    }
}
