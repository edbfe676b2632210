package anvilslip.settings

import anvilslip.kernel.Place

/** A JSON value with its [place] in the source. */
internal sealed interface LocatedValue {
    val place: Place

    data class Object(
        override val place: Place,
        val members: Map<String, LocatedValue>,
    ) : LocatedValue

    data class Array(
        override val place: Place,
        val items: List<LocatedValue>,
    ) : LocatedValue

    data class Text(
        override val place: Place,
        val value: String,
    ) : LocatedValue

    data class Number(
        override val place: Place,
        val value: Double,
    ) : LocatedValue

    data class Bool(
        override val place: Place,
        val value: Boolean,
    ) : LocatedValue

    data class Null(
        override val place: Place,
    ) : LocatedValue
}
