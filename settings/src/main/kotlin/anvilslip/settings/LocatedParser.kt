package anvilslip.settings

import anvilslip.kernel.Findings
import anvilslip.kernel.Place
import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.core.exc.StreamReadException
import com.fasterxml.jackson.core.json.JsonReadFeature

/** Parses JSON with comments and trailing commas into values with their [Place] in the source. Repeated keys are reported as findings. */
internal class LocatedParser(
    private val source: String,
    private val findings: Findings,
) {
    private val factory =
        JsonFactory
            .builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build()

    /** Returns the root value of [text], or null if the text is empty or not valid JSON. */
    fun parse(text: String): LocatedValue? =
        factory.createParser(text).use { parser ->
            try {
                if (parser.nextToken() != null) parseDocument(parser) else null.also { findings.add(Place(source), "the file is empty") }
            } catch (e: StreamReadException) {
                findings.add(Place(source, e.location?.lineNr, e.location?.columnNr), e.originalMessage)
                null
            }
        }

    private fun parseDocument(parser: JsonParser): LocatedValue {
        val value = parseValue(parser, "$")
        if (parser.nextToken() != null) findings.add(currentPlace(parser, "$"), "unexpected text after the root value")
        return value
    }

    private fun parseValue(
        parser: JsonParser,
        path: String,
    ): LocatedValue {
        val place = currentPlace(parser, path)
        return when (parser.currentToken()) {
            JsonToken.START_OBJECT -> LocatedValue.Object(place, parseMembers(parser, path))
            JsonToken.START_ARRAY -> LocatedValue.Array(place, parseItems(parser, path))
            JsonToken.VALUE_STRING -> LocatedValue.Text(place, parser.text)
            JsonToken.VALUE_NUMBER_INT, JsonToken.VALUE_NUMBER_FLOAT -> LocatedValue.Number(place, parser.doubleValue)
            JsonToken.VALUE_TRUE -> LocatedValue.Bool(place, true)
            JsonToken.VALUE_FALSE -> LocatedValue.Bool(place, false)
            else -> LocatedValue.Null(place)
        }
    }

    private fun parseMembers(
        parser: JsonParser,
        path: String,
    ): Map<String, LocatedValue> {
        val members = LinkedHashMap<String, LocatedValue>()
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            val key = parser.currentName()
            val keyPlace = currentPlace(parser, "$path.$key")
            parser.nextToken()
            val previous = members.put(key, parseValue(parser, "$path.$key"))
            findings.check(previous == null, keyPlace) { "repeated key" }
        }
        return members
    }

    private fun parseItems(
        parser: JsonParser,
        path: String,
    ): List<LocatedValue> {
        val items = ArrayList<LocatedValue>()
        while (parser.nextToken() != JsonToken.END_ARRAY) items += parseValue(parser, "$path[${items.size}]")
        return items
    }

    private fun currentPlace(
        parser: JsonParser,
        path: String,
    ): Place = parser.currentTokenLocation().let { Place(source, it.lineNr, it.columnNr, path) }

    private companion object {
        const val MAX_DEPTH = 32
    }
}
