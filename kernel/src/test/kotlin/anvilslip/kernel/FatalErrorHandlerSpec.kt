package anvilslip.kernel

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class FatalErrorHandlerSpec :
    DescribeSpec({
        fun exitsAfter(error: Throwable): List<Int> {
            val exits = mutableListOf<Int>()
            FatalErrorHandler { exits += it }.uncaughtException(Thread.currentThread(), error)
            return exits
        }

        describe("an uncaught error") {
            // Guards against processes that hang after they ran out of memory, because the threads and coroutines that failed are gone.
            it("ends the process if the virtual machine ran out of memory") {
                exitsAfter(OutOfMemoryError("Java heap space")) shouldBe listOf(FatalErrorHandler.EXIT_FATAL_ERROR)
            }

            it("does not end the process if a single input caused it") {
                exitsAfter(IllegalStateException("unexpected")).shouldBeEmpty()
                exitsAfter(StackOverflowError()).shouldBeEmpty()
            }
        }
    })
