package anvilslip.policy

import java.util.zip.CRC32C

/** Orders instances for a caller: nearest zone first, and in it the same order for the same [affinity] everywhere. */
public object Resolver {
    /** The instances of [view] that take new work. An instance that is not draining comes first in any case. */
    public fun rank(
        view: FleetView,
        zone: String?,
        affinity: String?,
    ): List<InstanceView> =
        view.instances
            .filter { !it.draining }
            .ifEmpty { view.instances }
            .sortedWith(compareBy({ it.zone != zone }, { weight(affinity.orEmpty(), it.name) }))

    private fun weight(
        affinity: String,
        instance: String,
    ): Long = CRC32C().apply { update("$affinity/$instance".toByteArray()) }.value
}
