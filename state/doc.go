// Package state defines the data model of a daemon: identifiers and units, the
// configuration, the membership of the fleet, and the immutable snapshot that
// request handling reads.
//
// It is the lowest layer. It imports no other package of this module, does no
// I/O and reads no clock; times are fields that the caller sets.
//
// # Usage
//
// A configuration is parsed and validated as a whole. Every problem that is
// reported has a line number and a suggestion to fix it:
//
//	cfg, err := state.ParseConfig("fleet.yaml", text)
//	if err != nil {
//		fmt.Println(err) // one line for each problem
//	}
//
// A parsed configuration and a member list are combined into a snapshot. A
// snapshot is immutable, so any number of goroutines may read it concurrently:
//
//	s := state.BuildSnapshot(state.Inputs{Config: cfg, Members: members, Hash: coordination.Hash})
//	pool := s.Model("casework")
//
// Configurations are ordered by [Head.Compare]: a higher version is newer. Of two
// files with the same version, the one with the higher digest is used, so that
// all daemons converge on the same file.
package state
