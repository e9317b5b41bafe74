// Package transport holds the networking code that daemons share: mutual TLS
// between processes, HTTP requests that may take long but must not stall, timeouts
// that survive a pause of the process, and the recorder of timeline events. Its subpackages are the front ends: relay proxies requests of
// the production front end to replicas, gateway serves the OpenAI front end.
//
// The package makes no decisions; those are in coordination.
//
// # Usage
//
//	t := transport.Timeouts{FirstByte: time.Second, Idle: 500 * time.Millisecond, Grace: 2 * time.Second, MinRate: 16 << 10}
//	err := transport.Fetch(client, req, t, func(resp *http.Response) error {
//		return json.NewDecoder(resp.Body).Decode(&v)
//	})
package transport
