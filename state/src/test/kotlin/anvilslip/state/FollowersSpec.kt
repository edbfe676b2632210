package anvilslip.state

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration

class FollowersSpec :
    DescribeSpec({
        describe("a late rejection from a follower that has acknowledged more since") {
            // Guards against a snapshot sent to a follower that has already acknowledged entries after it.
            it("does not make the leader send again what is acknowledged") {
                val follower = ReplicaId("b", "id")
                val followers = Followers(ReplicaId("a", "id"), ReplicaOptions())
                followers.add(setOf(follower), next = 21, now = Duration.ZERO)
                val progress = followers[follower]!!
                progress.recordMatch(20)
                progress.resumeAfter(5)
                progress.nextIndex shouldBe 21
            }
        }
    })
