package anvilslip.standin

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Speed of an engine relative to the stated one: a constant factor, interrupted by slow spells of random length. */
public class SpeedProfile(
    /** Speed outside slow spells, relative to the stated one. */
    public val speed: Double = 1.0,
    private val spells: SlowSpells? = null,
    seed: Long = 0,
) {
    /** Slow spells of an engine; lengths of spells and of the times between them are distributed exponentially. */
    public data class SlowSpells(
        /** Share of the time that is slow. */
        val share: Double = 0.15,
        /** How many times as long everything takes during a spell. */
        val slowdown: Double = 2.5,
        val meanLength: Duration = 600.milliseconds,
    )

    private val random = Random(seed)
    private var isSlow = false
    private var endsAt = Duration.ZERO

    /** The speed at [now] relative to the stated one; [now] must not decrease between calls. */
    public fun speedAt(now: Duration): Double {
        val slow = spells ?: return speed
        if (endsAt == Duration.ZERO) endsAt = nextLength(slow)
        while (now >= endsAt) {
            isSlow = !isSlow
            endsAt += nextLength(slow)
        }
        return if (isSlow) speed / slow.slowdown else speed
    }

    private fun nextLength(slow: SlowSpells): Duration {
        val mean = if (isSlow) slow.meanLength else slow.meanLength * ((1 - slow.share) / slow.share)
        return mean * -ln(1 - random.nextDouble())
    }
}
