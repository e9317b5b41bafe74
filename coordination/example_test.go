package coordination_test

import (
	"fmt"

	"hingewinch.org/hingewinch/coordination"
)

// Example determines the home of a key, which is the same in every daemon.
func Example() {
	key := coordination.Hash("chat")
	home, best := "", uint64(0)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if r := coordination.Rank(key, coordination.Hash(id)); r > best {
			home, best = id, r
		}
	}
	fmt.Println(home, coordination.MayRetry(coordination.NotRun{}), coordination.MayRetry(coordination.MayHaveRun{}))
	// Output: i-3 true false
}
