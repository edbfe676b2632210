package anvilslip.kernel

/** A problem found in an input, and the [place] at which it was found. */
public data class Finding(
    val place: Place,
    val message: String,
) {
    override fun toString(): String = "$place: $message"
}
