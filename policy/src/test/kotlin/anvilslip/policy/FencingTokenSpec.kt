package anvilslip.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against two holders of one token, and against delegates whose orders a later leader cannot fence off. */
class FencingTokenSpec :
    DescribeSpec({
        describe("tokens") {
            it("of a later leader are higher than any token of an earlier term, and higher than the plain terms of earlier releases") {
                val random = Random(1)
                repeat(1_000) {
                    val term = random.nextLong(1, 1_000_000)
                    val highest = FencingToken.ofDelegate(term, FencingToken.MAX_GENERATION, 0xFFFFFF)
                    FencingToken.ofLeader(term + 1) shouldBeGreaterThan highest
                    FencingToken.ofLeader(1).value shouldBeGreaterThan term
                }
            }

            it("of a leader of the next generation are higher than those of all delegates of the generation before") {
                FencingToken.ofLeader(7, 1) shouldBeGreaterThan FencingToken.ofDelegate(7, 0, 0xFFFFFF)
                FencingToken.ofLeader(7, 2) shouldBeGreaterThan FencingToken.ofDelegate(7, 1, 0xFFFFFF)
                FencingToken.ofLeader(7, 0) shouldBeLessThan FencingToken.ofDelegate(7, 0, 1)
            }

            it("have the layout that is stated for them") {
                FencingToken.ofDelegate(5, 1, 0x010203).value shouldBe ((5L shl 32) or (1L shl 24) or 0x010203L)
                FencingToken.ofLeader(5, 255).value shouldBe ((5L shl 32) or (255L shl 24))
            }

            it("differ for all terms, generations and holders") {
                val tokens = HashSet<Long>()
                var count = 0
                for (term in 1L..5L) {
                    for (generation in 0..2) {
                        count++
                        tokens += FencingToken.ofLeader(term, generation).value
                        for (holder in 1..300) {
                            count++
                            tokens += FencingToken.ofDelegate(term, generation, holder * 55_555).value
                        }
                    }
                }
                tokens.size shouldBe count
            }
        }

        describe("the bits of a holder") {
            it("are the low 24 bits of an IPv4 address in dotted form") {
                FencingToken.holderBits("10.1.2.3") shouldBe 0x010203
                FencingToken.holderBits("127.0.0.1") shouldBe 1
            }

            it("do not exist for other hosts, nor if they are zero") {
                for (host in listOf("10.0.0.0", "10.1.2", "10.1.2.256", "10.1.2.03", "::1", "host", "", "10.1.2.3.4", "1.2.3.-4")) {
                    FencingToken.holderBits(host) shouldBe null
                }
            }
        }

        describe("a leader that is refused") {
            it("raises its generation once for engines that refuse the same token") {
                val fencing = LeaderFencing(3)
                val first = FencingToken.ofLeader(3, 0)
                fencing.tokenFor("a") shouldBe first
                fencing.recordRefused("a", first)
                fencing.recordRefused("b", first)
                fencing.tokenFor("a") shouldBe FencingToken.ofLeader(3, 1)
                fencing.tokenFor("b") shouldBe FencingToken.ofLeader(3, 1)
            }

            it("sends no more orders to an engine that has refused its highest token") {
                val fencing = LeaderFencing(3)
                repeat(FencingToken.MAX_GENERATION + 1) { fencing.recordRefused("a", checkNotNull(fencing.tokenFor("a"))) }
                fencing.tokenFor("a") shouldBe null
                fencing.tokenFor("b") shouldBe FencingToken.ofLeader(3, FencingToken.MAX_GENERATION)
            }
        }

        describe("a delegate that is refused") {
            it("raises its generation once for the engine, then stops until the next term") {
                val fencing = DelegateFencing(9)
                fencing.recordRefused("a", 3, checkNotNull(fencing.tokenFor("a", 3)))
                fencing.tokenFor("a", 3) shouldBe FencingToken.ofDelegate(3, 1, 9)
                fencing.tokenFor("b", 3) shouldBe FencingToken.ofDelegate(3, 0, 9)
                fencing.recordRefused("a", 3, checkNotNull(fencing.tokenFor("a", 3)))
                fencing.tokenFor("a", 3) shouldBe null
                fencing.tokenFor("a", 4) shouldBe FencingToken.ofDelegate(4, 0, 9)
            }
        }
    })
