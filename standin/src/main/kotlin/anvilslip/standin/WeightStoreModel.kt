package anvilslip.standin

/** Simulates the weight store shared by all [EngineModel]s; more than [fullSpeedLoads] concurrent loads slow each other down. */
public class WeightStoreModel(
    private val fullSpeedLoads: Int = 8,
) {
    private var loadsInFlight = 0

    /** Number of loads started. */
    public var loads: Int = 0
        private set

    /** Starts a load; returns the factor by which it is slower than at full speed. */
    public fun beginLoad(): Double {
        loads++
        loadsInFlight++
        return maxOf(1.0, loadsInFlight.toDouble() / fullSpeedLoads)
    }

    /** Records the end of a load. */
    public fun endLoad() {
        loadsInFlight--
    }
}
