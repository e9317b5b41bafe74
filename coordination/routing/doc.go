// Package routing decides which replica takes a request. It is the neutral
// middle of the daemon: a front end hands in a typed [Request], and what comes
// out is a [Target] or the reason why there is none. Nothing here does I/O or
// reads a clock; the time is an argument.
//
// # Usage
//
//	table, err := routing.NewTable(config)
//	route, ok := table.Match(host, path)
//	view := &routing.View{Table: table, Services: services}
//	target, ok := placer.Choose(view, request, now)
//
// A [View] is immutable and is replaced as a whole by the goroutine that owns
// the control state. [Loads], [Health] and [Budgets] are shared by the traffic
// goroutines and guard themselves.
package routing
