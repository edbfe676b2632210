package anvilslip.kernel

/** Merges the events of several instances, ordered by stamp, so that causes come before their effects; ties are ordered by instance. */
public fun mergeTimelines(timelines: List<List<Event>>): List<Event> =
    timelines.flatten().sortedWith(compareBy(Event::stamp, Event::instance))
