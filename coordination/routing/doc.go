// Package routing holds the decisions on a request in the front end that routes by
// host and path. Each stands in one file, with its inputs and its rule at the head:
//
//	admit.go        may the request in, and on which route
//	place.go        which replica takes it
//	crowd.go        which replicas hold too much, and how many homes a hot prompt has
//	load.go         how many requests each replica holds, as daemons count them;
//	                load_reported.go, as the replicas report it
//	cache.go        where prompts are cached
//	eject.go        which replicas get no requests because they fail; evidence.go counts
//	cutoff.go       which failure domains are cut off
//	silence.go      which replicas other daemons find silent
//	expired.go      what becomes of replicas whose entries expired
//	retry.go        is it sent again after a failed attempt
//	budget.go       how many retries the fleet may spend; loan.go, what daemons lend each other
//	giveup.go       how long a silent replica is waited for
//	dial.go         how long a connection may take
//	connections.go  how many connections a daemon opens to a replica
//	broken_links.go which idle connections are not used, after links broke
//	evacuate.go     which replicas get nothing because operators empty their failure domain
//	cold.go         how many requests a cold replica gets
//	backoffs.go     which replicas asked for rest; departures.go, which said that they leave;
//	                ineligible.go, what of that holds whatever else is left
//	crash.go        which requests are held back because replicas end under them
//	terminated.go   which replicas have ended; liveness.go, what disproves that
//	view.go         the replicas of a service as traffic reads them; replicas.go keeps them in
//	                order as they change, index.go finds one by its key
//
// It owns no goroutine and does no I/O; the time is an argument. It relies on a
// [View], which the control loop builds from the published documents, and on
// what the relay reports of each attempt.
//
// A [View] is immutable and replaced as a whole. [Loads], [Health], [CacheTable],
// [Crowds], [ColdLimiter], [BrokenLinks] and [RetryBudgets] are shared by the traffic goroutines
// and guard themselves.
// [ExpiredEntries] and [Evacuations] belong to the control loop.
//
// # Usage
//
//	table, err := routing.NewTable(config)
//	view := &routing.View{Table: table, Pools: pools, Domain: domain, Daemons: n}
//	admission, denial := view.Admit(host, path, key)
//	target, ok := placer.Choose(view, request, tried, now)
package routing
