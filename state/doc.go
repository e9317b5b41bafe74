// Package state defines what a daemon knows: identifiers and units, the
// operators' configuration, the membership of the fleet and the immutable
// snapshot that traffic reads.
//
// It is the lowest layer. It imports no other package of this module, does no
// I/O and reads no clock; a time that matters is a field that the caller sets.
//
// # Usage
//
// A configuration is parsed and checked as a whole, and every error names its
// line and a remedy:
//
//	cfg, err := state.ParseConfig("fleet.yaml", text)
//	if err != nil {
//		fmt.Println(err) // one line for each problem
//	}
//
// A parsed configuration and a member list are combined into a snapshot, which
// is never changed after it has been built, so that any number of goroutines
// may read it:
//
//	s := state.BuildSnapshot(state.Inputs{Config: cfg, Members: members, Hash: coordination.Hash})
//	pool := s.Model("casework")
//
// Configurations are ordered by [Head.Compare]: a higher version is
// newer, and of two contents that carry one version the one with the higher
// digest is taken, so that all daemons take the same one.
package state
