package soak

import "testing"

// TestCutsOutlastOthers guards against a cut that the end of another one ends, or that another one replaces.
func TestCutsOutlastOthers(t *testing.T) {
	var c cuts
	long := &cutOff{inside: map[string]bool{"a": true}, inbound: true, outbound: true}
	short := &cutOff{inside: map[string]bool{"b": true}, inbound: true}
	check := func(when string, want map[[2]string]bool) {
		t.Helper()
		for pair, blocked := range want {
			if got := c.blocks(pair[0], pair[1]); got != blocked {
				t.Errorf("%s: from %s to %s blocked %t, want %t", when, pair[0], pair[1], got, blocked)
			}
		}
	}
	c.begin(long)
	c.begin(short)
	check("two cuts", map[[2]string]bool{{"a", "c"}: true, {"c", "a"}: true, {"c", "b"}: true, {"b", "c"}: false, {"c", "d"}: false})
	c.end(short)
	check("the first one alone", map[[2]string]bool{{"a", "c"}: true, {"c", "a"}: true, {"c", "b"}: false})
	if !c.contains("a") || c.contains("b") {
		t.Error("syncs of the wrong daemon are held up")
	}
	c.end(long)
	check("none", map[[2]string]bool{{"a", "c"}: false, {"c", "a"}: false})
}
