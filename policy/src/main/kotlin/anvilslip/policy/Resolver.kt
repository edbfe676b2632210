package anvilslip.policy

import java.util.zip.CRC32C

/** Ranks instances for a client: those in its zone first, then by a hash of the affinity key that gives the same ranking everywhere. */
public object Resolver {
    /** Ranks the instances of [view] that are not draining; if all are draining, ranks all of them. */
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
