package anvilslip.state

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate

private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
private val HASH = Regex("[0-9a-f]{64}")

/** Returns the configuration with [change] applied, or a list of everything that is invalid in the change. */
public fun Configuration.withChange(change: Change): Either<List<String>, Configuration> {
    val problems = problems(change)
    return if (problems.isEmpty()) apply(change).copy(revision = revision + 1).right() else problems.left()
}

private fun Configuration.apply(change: Change): Configuration =
    when (change) {
        is Change.PutWorkspace -> {
            copy(workspaces = workspaces.put(change.workspace.name, change.workspace))
        }

        is Change.RemoveWorkspace -> {
            withoutWorkspace(change.name)
        }

        is Change.IssueKey -> {
            copy(keys = keys.put(change.key.hash, change.key))
        }

        is Change.WithdrawKey -> {
            copy(keys = keys.without { it.id == change.id })
        }

        is Change.PutAdapters -> {
            copy(adapters = adapters.mutate { map -> change.adapters.forEach { map[it.name] = it } })
        }

        is Change.RemoveAdapter -> {
            copy(adapters = adapters.remove(change.name))
        }

        is Change.PutClass -> {
            copy(classes = classes.put(change.serviceClass.name, change.serviceClass))
        }

        is Change.PutRoute -> {
            copy(routes = routes.put(change.route.path, change.route))
        }

        is Change.RemoveRoute -> {
            copy(routes = routes.remove(change.path))
        }

        is Change.SetDraining -> {
            copy(
                draining = if (change.draining) draining.put(change.instance, true) else draining.remove(change.instance),
            )
        }
    }

private fun Configuration.withoutWorkspace(name: String) =
    copy(
        workspaces = workspaces.remove(name),
        keys = keys.without { it.workspace == name },
        adapters = adapters.without { it.workspace == name },
    )

private fun <V> PersistentMap<String, V>.without(predicate: (V) -> Boolean): PersistentMap<String, V> =
    mutate { map -> map.values.removeAll(predicate) }

private fun Configuration.problems(change: Change): List<String> =
    when (change) {
        is Change.PutWorkspace -> workspaceProblems(change.workspace)
        is Change.RemoveWorkspace -> missing(change.name in workspaces, "workspace", change.name)
        is Change.IssueKey -> keyProblems(change.key)
        is Change.WithdrawKey -> missing(keys.values.any { it.id == change.id }, "key", change.id)
        is Change.PutAdapters -> change.adapters.flatMap(::adapterProblems)
        is Change.RemoveAdapter -> missing(change.name in adapters, "adapter", change.name)
        is Change.PutClass -> classProblems(change.serviceClass)
        is Change.PutRoute -> routeProblems(change.route)
        is Change.RemoveRoute -> missing(change.path in routes, "route", change.path)
        is Change.SetDraining -> nameProblems("instance", change.instance)
    }

private fun workspaceProblems(workspace: Workspace): List<String> =
    nameProblems("workspace", workspace.name) +
        listOfNotNull(
            "rate must be a positive number of tokens per second".takeUnless {
                workspace.tokensPerSecond > 0 &&
                    workspace.tokensPerSecond.isFinite()
            },
            "burst must be at least 1 token".takeUnless { workspace.burstTokens >= 1 },
        )

private fun Configuration.keyProblems(key: WorkspaceKey): List<String> =
    nameProblems("key", key.id) +
        missing(key.workspace in workspaces, "workspace", key.workspace) +
        listOfNotNull(
            "key hash must be 64 hexadecimal digits".takeUnless { HASH.matches(key.hash) },
            "key ID '${key.id}' is taken".takeIf { keys.values.any { it.id == key.id } },
            "key hash is taken".takeIf { key.hash in keys },
        )

private fun Configuration.adapterProblems(adapter: Adapter): List<String> =
    nameProblems("adapter", adapter.name) +
        nameProblems("model", adapter.model) +
        adapter.versions.flatMap { nameProblems("version", it) } +
        (adapter.workspace?.let { missing(it in workspaces, "workspace", it) } ?: emptyList()) +
        listOfNotNull(
            "current version '${adapter.current}' of '${adapter.name}' is not among its versions"
                .takeUnless { adapter.current in adapter.versions },
        )

private fun classProblems(serviceClass: ServiceClass): List<String> =
    nameProblems("class", serviceClass.name) +
        listOfNotNull("wait target must be at least 1 ms".takeUnless { serviceClass.waitTargetMillis >= 1 })

private fun routeProblems(route: Route): List<String> =
    nameProblems("service", route.service) +
        listOfNotNull(
            "route path must start with '/'".takeUnless { route.path.startsWith("/") },
            "route path '${route.path}' is taken by the system".takeIf { route.path.startsWith("/v1/") },
            "route tokens must not be negative".takeIf { route.tokens < 0 },
        )

private fun nameProblems(
    kind: String,
    name: String,
): List<String> = if (NAME.matches(name)) emptyList() else listOf("$kind name '$name' must match ${NAME.pattern}")

private fun missing(
    present: Boolean,
    kind: String,
    name: String,
): List<String> = if (present) emptyList() else listOf("$kind '$name' does not exist")
