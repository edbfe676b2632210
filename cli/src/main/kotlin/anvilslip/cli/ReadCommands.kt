package anvilslip.cli

import anvilslip.entry.operator.OperatorConfiguration
import anvilslip.entry.operator.OperatorStatus
import anvilslip.entry.operator.OperatorTimeline
import anvilslip.kernel.Event
import arrow.core.Either
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import kotlin.time.Instant

private val PRETTY_JSON = Json { prettyPrint = true }

@OptIn(ExperimentalCli::class)
internal class StatusCommand(
    onSelected: (OperatorCommand) -> Unit,
) : OperatorCommand("status", "Show instances, backend servers, rate limits and service classes that miss their target", onSelected) {
    override fun run(client: OperatorClient): Either<CommandError, String> =
        client.status().map { if (json) PRETTY_JSON.encodeToString(OperatorStatus.serializer(), it) else formatStatus(it) }

    private fun formatStatus(status: OperatorStatus): String {
        val system =
            status.system ?: return "no leader is reachable; local revision ${status.revision}, ${if (status.fresh) "fresh" else "stale"}"
        val header = "leader ${system.leader}, term ${system.term}, revision ${system.revision}, replicas ${system.replicas.joinToString()}"
        val instances = Table("INSTANCE", "ZONE", "ADDRESS", "REVISION", "DRAINING", "SILENT_MS")
        for (i in system.instances.sortedBy { it.name }) instances.row(i.name, i.zone, i.address, i.revision, i.draining, i.silentMillis)
        val backends = Table("SERVER", "SERVES", "ZONE", "IN_FLIGHT", "LOADED", "SLOTS", "LEAVING")
        for (b in system.backends.sortedBy { it.server }) backends.row(b.server, b.serves, b.zone, b.inFlight, b.loaded, b.slots, b.leaving)
        val workspaces = Table("WORKSPACE", "TOKENS_LEFT", "GRANTED")
        for (w in system.workspaces) workspaces.row(w.name, w.level.toLong(), w.outstanding.toLong())
        val remarks =
            listOf("loads queued: ${system.queuedLoads}") +
                status.drifting.map { (name, cause) -> "class '$name' misses its wait target; main cause: $cause" } +
                system.suspects.map {
                    "request ${it.fingerprint} ${if (it.quarantined) "quarantined" else "suspected"}: crashed ${it.crashes.joinToString()}"
                }
        return listOf(header, instances, backends, workspaces, remarks.joinToString("\n")).joinToString("\n\n")
    }
}

@OptIn(ExperimentalCli::class)
internal class ListCommand(
    onSelected: (OperatorCommand) -> Unit,
) : OperatorCommand("list", "Show the configuration", onSelected) {
    private val kind by argument(ArgType.Choice(KINDS, { it }), "kind", "Kind of objects to list")

    override fun run(client: OperatorClient): Either<CommandError, String> =
        client.configuration().map {
            if (json) PRETTY_JSON.encodeToString(OperatorConfiguration.serializer(), it) else toTable(it).toString()
        }

    private fun toTable(configuration: OperatorConfiguration): Table =
        when (kind) {
            "workspaces" -> {
                Table("WORKSPACE", "TOKENS_PER_SECOND", "BURST").apply {
                    configuration.workspaces.forEach { row(it.name, it.tokensPerSecond, it.burstTokens) }
                }
            }

            "keys" -> {
                Table("KEY", "WORKSPACE").apply { configuration.keys.forEach { row(it.id, it.workspace) } }
            }

            "adapters" -> {
                Table("ADAPTER", "MODEL", "VERSIONS", "CURRENT", "WORKSPACE").apply {
                    configuration.adapters.forEach { row(it.name, it.model, it.versions.joinToString(","), it.current, it.workspace) }
                }
            }

            "classes" -> {
                Table("CLASS", "TARGET_MS").apply { configuration.classes.forEach { row(it.name, it.waitTargetMillis) } }
            }

            else -> {
                Table("ROUTE", "SERVICE", "IDEMPOTENT", "OPEN", "TOKENS").apply {
                    configuration.routes.forEach { row(it.path, it.service, it.idempotent, it.open, it.tokens) }
                }
            }
        }

    private companion object {
        val KINDS = listOf("workspaces", "keys", "adapters", "classes", "routes")
    }
}

@OptIn(ExperimentalCli::class)
internal class TimelineCommand(
    onSelected: (OperatorCommand) -> Unit,
) : OperatorCommand("timeline", "Show the events of all instances in causal order", onSelected) {
    private val limit by option(ArgType.Int, "limit", "n", "Maximum number of events").default(50)
    private val since by option(ArgType.String, "since", description = "Only events after this time, such as 2026-01-31T12:00:00Z")
    private val requestId by option(ArgType.String, "request", "r", "Only events of the request with this ID")

    override fun run(client: OperatorClient): Either<CommandError, String> {
        val sinceMillis = since?.let { Instant.parse(it).toEpochMilliseconds() } ?: 0
        return client
            .timeline(
                limit,
                sinceMillis,
                requestId,
            ).map { if (json) PRETTY_JSON.encodeToString(OperatorTimeline.serializer(), it) else formatTimeline(it) }
    }

    private fun formatTimeline(timeline: OperatorTimeline): String {
        val table = Table("TIME", "INSTANCE", "EVENT", "REQUEST", "CAUSE", "DETAILS")
        timeline.events.forEach {
            table.row(formatTime(it), it.instance, it.kind.name.lowercase(), it.requestId, it.cause, formatFields(it))
        }
        val missingNotice =
            timeline.missing
                .takeIf { it.isNotEmpty() }
                ?.let { "\nno response from ${it.joinToString()}" }
                .orEmpty()
        return "$table$missingNotice"
    }

    private fun formatTime(event: Event): String =
        Instant.fromEpochMilliseconds(event.stamp.millis).toString() + (if (event.stamp.counter > 0) "+${event.stamp.counter}" else "")

    private fun formatFields(event: Event): String = event.fields.entries.joinToString(" ") { "${it.key}=${it.value}" }
}

@OptIn(ExperimentalCli::class)
internal class PardonCommand(
    onSelected: (OperatorCommand) -> Unit,
) : OperatorCommand("pardon", "Release a request from quarantine", onSelected) {
    private val fingerprint by argument(ArgType.String, "fingerprint", "Fingerprint of the request, as printed by status")

    override fun run(client: OperatorClient): Either<CommandError, String> = client.pardon(fingerprint).map { "pardoned" }
}
