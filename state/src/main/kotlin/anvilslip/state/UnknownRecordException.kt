package anvilslip.state

/** Thrown if stored data is whole, but of a kind that this build does not know, as a later build may have written it. */
public class UnknownRecordException(
    message: String,
) : StorageException(message)
