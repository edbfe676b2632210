package anvilslip.state

/** Thrown if storage cannot be read or written. The replica must then neither vote nor acknowledge entries. */
public open class StorageException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)
