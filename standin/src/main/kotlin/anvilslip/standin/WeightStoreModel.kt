package anvilslip.standin

/** The weight store that all [EngineModel]s load from; loads beyond [fullSpeedLoads] at a time slow each other down. */
public class WeightStoreModel(
    private val fullSpeedLoads: Int = 8,
) {
    private var underWay = 0

    /** Loads begun so far. */
    public var loads: Int = 0
        private set

    /** A load begins; returns how many times longer it takes than at full speed. */
    public fun begin(): Double {
        loads++
        underWay++
        return maxOf(1.0, underWay.toDouble() / fullSpeedLoads)
    }

    /** A load has ended. */
    public fun end() {
        underWay--
    }
}
