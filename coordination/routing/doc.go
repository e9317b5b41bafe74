// Package routing makes the decisions about a request in the front end that routes by host and
// path. Each decision is in one file, with its inputs and rules described at the top:
//
//	admit.go        whether a request is admitted, and on which route
//	place.go        which replica gets a request
//	candidates.go   the state of one such choice; usable.go decides which replicas may be chosen
//	overload.go     which replicas are overloaded, and how many homes a hot prompt has
//	load.go         how many requests each replica has in flight, as counted by the daemons;
//	                load_reported.go, as reported by the replicas
//	cache.go        where prompts are cached
//	eject.go        which replicas are ejected because requests to them fail; evidence.go counts
//	cutoff.go       which failure domains are cut off
//	silence.go      which replicas other daemons find silent
//	expired.go      what happens to replicas whose store entries expired
//	retry.go        whether a request is retried after a failed attempt
//	budget.go       how many retries the fleet may spend; transfer.go, how daemons transfer them
//	timeouts.go     how long an unresponsive replica is waited for
//	dial.go         how long establishing a connection may take
//	connections.go  how many connections a daemon opens to a replica
//	broken_links.go which idle connections are not reused after links broke
//	evacuate.go     which replicas get no requests because operators evacuate their failure domain
//	cold.go         how many requests a cold replica gets
//	backoffs.go     which replicas requested a backoff; departures.go, which announced their departure;
//	                ineligible.go, which of these rules hold even if no other replica is left
//	crash.go        which requests are quarantined because replicas crash while running them
//	terminated.go   which replicas have terminated; liveness.go, what disproves that
//	view.go         the replicas of a service as the request path reads them; replicas.go keeps them
//	                sorted as they change, index.go finds one by its key
//	config.go       the configuration; table.go validates and indexes it
//	versions.go     at which software version a stream goes on; origins.go, how daemons find out where
//	                it began, version_history.go, for which services that is needed
//	request.go      a request, its placement key and its content key
//	outbox.go       reports that wait to be sent to other daemons
//	slots.go        the slots of sliding windows
//
// The package starts no goroutines and does no I/O; the current time is passed as an argument.
// Its inputs are a [View], which the control loop builds from the published documents, and what
// the relay reports about each attempt.
//
// A [View] is immutable and replaced as a whole. [Loads], [Health], [CacheTable], [Overloads],
// [ColdLimiter], [BrokenLinks] and [RetryBudgets] are shared by the goroutines that serve requests
// and synchronize access themselves. [ExpiredEntries] and [Evacuations] belong to the control
// loop.
//
// # Usage
//
//	table, err := routing.NewTable(config)
//	view := &routing.View{Table: table, Pools: pools, Domain: domain, Daemons: n}
//	admission, denial := view.Admit(host, path, key)
//	target, ok := placer.Choose(view, request, tried, now)
package routing
