package anvilslip.cli

import anvilslip.entry.SecretKeys
import anvilslip.state.Adapter
import anvilslip.state.Change
import anvilslip.state.Route
import anvilslip.state.ServiceClass
import anvilslip.state.Workspace
import anvilslip.state.WorkspaceKey
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import java.io.IOException
import kotlin.io.path.Path
import kotlin.io.path.readLines
import kotlin.time.Duration

@OptIn(ExperimentalCli::class)
internal class PutWorkspaceCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("workspace-put", "Create or update a workspace", onSelected) {
    private val workspace by argument(ArgType.String, "name", "Name of the workspace")
    private val tokensPerSecond by option(ArgType.Double, "rate", description = "Tokens per second over all instances").required()
    private val burstTokens by option(ArgType.Int, "burst", description = "Maximum burst in tokens").required()

    override fun buildChange(): Either<CommandError, Change> =
        Change.PutWorkspace(Workspace(workspace, tokensPerSecond, burstTokens.toLong())).right()
}

@OptIn(ExperimentalCli::class)
internal class RemoveWorkspaceCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("workspace-remove", "Remove a workspace together with its keys and private adapters", onSelected) {
    private val workspace by argument(ArgType.String, "name", "Name of the workspace")

    override fun buildChange(): Either<CommandError, Change> = Change.RemoveWorkspace(workspace).right()
}

@OptIn(ExperimentalCli::class)
internal class IssueKeyCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("key-issue", "Issue an API key; the secret is printed once and only its hash is stored", onSelected) {
    private val id by argument(ArgType.String, "id", "ID of the key")
    private val workspace by option(ArgType.String, "workspace", description = "Workspace that the key belongs to").required()
    private val secret = SecretKeys.generate()

    override fun buildChange(): Either<CommandError, Change> = Change.IssueKey(WorkspaceKey(id, workspace, SecretKeys.hash(secret))).right()

    override fun additionalOutput(): String = if (json) """{"key":"$secret"}""" else "key: $secret"
}

@OptIn(ExperimentalCli::class)
internal class WithdrawKeyCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("key-withdraw", "Revoke an API key", onSelected) {
    private val id by argument(ArgType.String, "id", "ID of the key")

    override fun buildChange(): Either<CommandError, Change> = Change.WithdrawKey(id).right()
}

@OptIn(ExperimentalCli::class)
internal class PutAdapterCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("adapter-put", "Create or update an adapter", onSelected) {
    private val adapter by argument(ArgType.String, "name", "Name of the adapter")
    private val model by option(ArgType.String, "model", description = "Base model").required()
    private val versions by option(ArgType.String, "version", description = "Version that requests can select; repeatable").multiple()
    private val current by option(ArgType.String, "current", description = "Default version of requests; the last --version if not given")
    private val workspace by option(ArgType.String, "workspace", description = "Only workspace allowed to use the adapter; default: all")

    override fun buildChange(): Either<CommandError, Change> {
        val currentVersion = current ?: versions.lastOrNull() ?: return CommandError.Usage("at least one --version is required").left()
        return Change.PutAdapters(listOf(Adapter(adapter, model, versions.toSet(), currentVersion, workspace))).right()
    }
}

@OptIn(ExperimentalCli::class)
internal class ImportAdaptersCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("adapter-import", "Create or update adapters from a file with lines of 'name model version [workspace]'", onSelected) {
    private val file by argument(ArgType.String, "file", "File with one adapter per line; lines starting with # are ignored")

    override fun buildChange(): Either<CommandError, Change> {
        val lines =
            try {
                Path(file).readLines().filter { it.isNotBlank() && !it.startsWith("#") }
            } catch (e: IOException) {
                return CommandError.Usage("cannot read $file: ${e.message}").left()
            }
        val entries = lines.map { it.trim().split(Regex("\\s+")) }
        val malformedEntries = entries.withIndex().filter { it.value.size !in MIN_FIELDS..MAX_FIELDS }.map { it.index + 1 }
        if (malformedEntries.isNotEmpty()) {
            return CommandError
                .Usage(
                    "entries ${malformedEntries.joinToString()} of $file are malformed; expected 'name model version [workspace]'",
                ).left()
        }
        return Change.PutAdapters(entries.map { Adapter(it[0], it[1], setOf(it[2]), it[2], it.getOrNull(MIN_FIELDS)) }).right()
    }

    private companion object {
        const val MIN_FIELDS = 3
        const val MAX_FIELDS = 4
    }
}

@OptIn(ExperimentalCli::class)
internal class RemoveAdapterCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("adapter-remove", "Remove an adapter", onSelected) {
    private val adapter by argument(ArgType.String, "name", "Name of the adapter")

    override fun buildChange(): Either<CommandError, Change> = Change.RemoveAdapter(adapter).right()
}

@OptIn(ExperimentalCli::class)
internal class PutServiceClassCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("class-put", "Create or update a service class", onSelected) {
    private val serviceClass by argument(ArgType.String, "name", "Name of the service class")
    private val waitTarget by option(ArgType.String, "target", description = "Target time to first byte, such as 500ms or 2s").required()

    override fun buildChange(): Either<CommandError, Change> {
        val duration =
            Duration.parseOrNull(waitTarget)
                ?: return CommandError.Usage("invalid duration '$waitTarget'; expected, for example, 500ms or 2s").left()
        return Change.PutClass(ServiceClass(serviceClass, duration.inWholeMilliseconds)).right()
    }
}

@OptIn(ExperimentalCli::class)
internal class PutRouteCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("route-put", "Create or update a route to an application service", onSelected) {
    private val path by argument(ArgType.String, "path", "Path prefix of the requests to route")
    private val service by option(ArgType.String, "service", description = "Service that handles the requests").required()
    private val idempotent by option(ArgType.Boolean, "idempotent", description = "Requests can be retried").default(false)
    private val open by option(ArgType.Boolean, "open", description = "Requests need no API key").default(false)
    private val tokens by option(ArgType.Int, "tokens", description = "Tokens charged per request").default(1)

    override fun buildChange(): Either<CommandError, Change> =
        Change.PutRoute(Route(path, service, idempotent, open, tokens.toLong())).right()
}

@OptIn(ExperimentalCli::class)
internal class RemoveRouteCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("route-remove", "Remove a route", onSelected) {
    private val path by argument(ArgType.String, "path", "Path prefix of the route")

    override fun buildChange(): Either<CommandError, Change> = Change.RemoveRoute(path).right()
}

@OptIn(ExperimentalCli::class)
internal class DrainCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("drain", "Drain an instance: direct callers to other instances", onSelected) {
    private val instance by argument(ArgType.String, "instance", "Name of the instance")

    override fun buildChange(): Either<CommandError, Change> = Change.SetDraining(instance, true).right()
}

@OptIn(ExperimentalCli::class)
internal class UndrainCommand(
    onSelected: (OperatorCommand) -> Unit,
) : ChangeCommand("undrain", "End draining: direct callers to the instance again", onSelected) {
    private val instance by argument(ArgType.String, "instance", "Name of the instance")

    override fun buildChange(): Either<CommandError, Change> = Change.SetDraining(instance, false).right()
}
