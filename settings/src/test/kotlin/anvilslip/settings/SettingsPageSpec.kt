package anvilslip.settings

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainAll
import kotlin.io.path.Path
import kotlin.io.path.readLines
import kotlin.reflect.KClass

class SettingsPageSpec :
    DescribeSpec({
        val page = Path("../docs/SETTINGS.md").readLines()
        val documentedKeys = page.filter { it.startsWith("| `") }.map { it.substringAfter('`').substringBefore('`') }.toSet()

        fun fieldNames(
            type: KClass<*>,
            prefix: String = "",
        ) = type.java.declaredFields
            .map { it.name }
            .filter { it != "Companion" }
            .map { prefix + it }

        val nestedKeys = fieldNames(WeightStoreSettings::class, "weightStore.") + fieldNames(RequestSettings::class, "requests.")
        val existingKeys = fieldNames(Settings::class) - listOf("weightStore", "requests") + nestedKeys

        describe("the settings page") {
            it("documents every setting") { documentedKeys shouldContainAll existingKeys }

            it("documents no unknown setting") { (documentedKeys - existingKeys.toSet()).shouldBeEmpty() }
        }
    })
