package anvilslip.settings

import anvilslip.kernel.Finding
import anvilslip.kernel.Findings
import anvilslip.kernel.Place
import kotlin.time.Duration

/** Reads the members of a JSON object. Members that are missing, unknown, out of range or of the wrong type are added to [findings]. */
internal class ObjectReader(
    private val value: LocatedValue.Object,
    private val findings: Findings,
) {
    private val requestedKeys = LinkedHashSet<String>()

    val place: Place get() = value.place

    fun placeOf(key: String): Place = value.members[key]?.place ?: place.copy(path = "${place.path}.$key")

    fun string(key: String): String? = required(key)?.let { stringOf(it) }

    fun optionalString(key: String): String? = member(key)?.let { stringOf(it) }

    fun strings(key: String): List<String> {
        val value = required(key) ?: return emptyList()
        if (value is LocatedValue.Array) return value.items.mapNotNull { stringOf(it) }
        findings.add(value.place, "expected a list")
        return emptyList()
    }

    /** The items of an optional list of strings, or the keys of an optional object. */
    fun names(key: String): Set<String> =
        when (val value = member(key)) {
            null -> emptySet()
            is LocatedValue.Object -> value.members.keys
            else -> strings(key).toSet()
        }

    fun bool(
        key: String,
        default: Boolean,
    ): Boolean {
        val value = member(key) ?: return default
        if (value is LocatedValue.Bool) return value.value
        findings.add(value.place, "expected true or false")
        return default
    }

    fun int(
        key: String,
        range: IntRange,
        default: Int? = null,
    ): Int? {
        val value = (if (default == null) required(key) else member(key)) ?: return default
        val number = (value as? LocatedValue.Number)?.value
        if (number == null || number != Math.rint(number)) {
            findings.add(value.place, "expected a whole number")
        } else if (number < range.first || number > range.last) {
            findings.add(value.place, "must be from ${range.first} to ${range.last}")
        } else {
            return number.toInt()
        }
        return default
    }

    fun double(
        key: String,
        range: ClosedFloatingPointRange<Double>,
        default: Double,
    ): Double {
        val value = member(key) ?: return default
        val number = (value as? LocatedValue.Number)?.value
        when {
            number == null -> findings.add(value.place, "expected a number")
            number !in range -> findings.add(value.place, "must be from ${range.start} to ${range.endInclusive}")
            else -> return number
        }
        return default
    }

    fun duration(
        key: String,
        range: ClosedRange<Duration>,
        default: Duration,
    ): Duration {
        val value = member(key) ?: return default
        val duration = (value as? LocatedValue.Text)?.let { Duration.parseOrNull(it.value) }
        when {
            duration == null -> findings.add(value.place, "expected a duration such as \"250ms\" or \"10s\"")
            duration !in range -> findings.add(value.place, "must be from ${range.start} to ${range.endInclusive}")
            else -> return duration
        }
        return default
    }

    fun requiredObject(key: String): ObjectReader? = required(key)?.let { objectOf(it) }

    fun optionalObject(key: String): ObjectReader? = member(key)?.let { objectOf(it) }

    fun objects(key: String): List<ObjectReader> {
        val value = required(key) ?: return emptyList()
        if (value is LocatedValue.Array) return value.items.mapNotNull { objectOf(it) }
        findings.add(value.place, "expected a list")
        return emptyList()
    }

    /** Reports unknown keys as findings, see [unknownKeys]. */
    fun reportUnknownKeys(): Unit = unknownKeys().forEach { findings.add(it.place, it.message) }

    /** Returns a finding about each unknown key: those that no call has read. Call it after all members have been read. */
    fun unknownKeys(): List<Finding> {
        val message = "unknown key; known here: ${requestedKeys.sorted().joinToString()}"
        return value.members.filterKeys { it !in requestedKeys }.map { (_, member) -> Finding(member.place, message) }
    }

    private fun member(key: String): LocatedValue? {
        requestedKeys += key
        return value.members[key]?.takeIf { it !is LocatedValue.Null }
    }

    private fun required(key: String): LocatedValue? {
        val value = member(key)
        if (value == null) findings.add(placeOf(key), "is missing")
        return value
    }

    private fun stringOf(value: LocatedValue): String? {
        if (value is LocatedValue.Text && value.value.isNotBlank()) return value.value
        findings.add(value.place, "expected a non-empty string")
        return null
    }

    private fun objectOf(value: LocatedValue): ObjectReader? {
        if (value is LocatedValue.Object) return ObjectReader(value, findings)
        findings.add(value.place, "expected an object")
        return null
    }
}
