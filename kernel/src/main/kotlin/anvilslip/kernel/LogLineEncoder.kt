package anvilslip.kernel

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.encoder.EncoderBase
import ch.qos.logback.core.util.CachingDateFormatter
import java.time.ZoneOffset

/** Encodes a log event as one line `time=TIME level=LEVEL logger=NAME MESSAGE`. Times are in UTC, with milliseconds. */
public class LogLineEncoder : EncoderBase<ILoggingEvent>() {
    private val times = CachingDateFormatter(TIME_PATTERN, ZoneOffset.UTC)

    override fun headerBytes(): ByteArray? = null

    override fun footerBytes(): ByteArray? = null

    override fun encode(event: ILoggingEvent): ByteArray {
        val line = StringBuilder(TYPICAL_LENGTH)
        line.append("time=").append(times.format(event.timeStamp))
        line.append(" level=").append(event.level)
        line.append(" logger=").append(event.loggerName)
        line.append(' ').append(event.formattedMessage).append('\n')
        return line.toString().toByteArray()
    }

    private companion object {
        const val TIME_PATTERN = "yyyy-MM-dd'T'HH:mm:ss.SSSXXX"

        /** Characters reserved for a line, so that most lines need no second buffer. */
        const val TYPICAL_LENGTH = 256
    }
}
