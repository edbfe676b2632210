package anvilslip.kernel

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Collects findings, so that all problems of an input are reported at once. */
public class Findings {
    private var findings: PersistentList<Finding> = persistentListOf()

    /** All findings in the order in which they were added. */
    public val all: PersistentList<Finding> get() = findings

    /** Adds a finding about the value at [place]. */
    public fun add(
        place: Place,
        message: String,
    ) {
        findings = findings.add(Finding(place, message))
    }

    /** Adds a finding if [condition] is false. */
    public fun check(
        condition: Boolean,
        place: Place,
        message: () -> String,
    ) {
        if (!condition) add(place, message())
    }
}
