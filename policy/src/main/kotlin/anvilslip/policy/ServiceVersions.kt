package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Software versions that servers of each service have reported, and when. Not thread-safe. */
internal class ServiceVersions {
    private val reportedAt = HashMap<StreamOrigin, Duration>()

    /** Records that a server of [service] with [softwareVersion] has reported. */
    fun record(
        service: String,
        softwareVersion: String,
        now: Duration,
    ) {
        reportedAt[StreamOrigin(service, softwareVersion)] = now
        if (reportedAt.size > MAX_VERSIONS) reportedAt.values.removeAll { now - it > RETENTION }
    }

    /** Versions of the servers of [service] that have reported since [since]. */
    fun reportedSince(
        service: String,
        since: Duration,
    ): Set<String> =
        reportedAt
            .filter { (origin, at) ->
                origin.service == service && at >= since
            }.keys
            .mapTo(HashSet()) { it.softwareVersion }

    private companion object {
        const val MAX_VERSIONS = 256
        val RETENTION = 10.minutes
    }
}
