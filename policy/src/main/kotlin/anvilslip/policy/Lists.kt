package anvilslip.policy

/** The elements that match [predicate]; this list itself if all of them do, as is usual where it is used. */
internal inline fun <T> List<T>.filterUnlessAll(predicate: (T) -> Boolean): List<T> {
    for (i in indices) if (!predicate(this[i])) return filter(predicate)
    return this
}
