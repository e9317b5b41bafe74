// Package transport holds what every part that talks over a network shares:
// mutual TLS between processes, calls bounded by the other side's silence, and
// the recorder behind the time line. The parts themselves stand below it: relay
// carries requests of the front end in production to replicas, gateway serves
// the OpenAI front end.
//
// It decides nothing; decisions are in coordination.
//
// # Usage
//
//	t := transport.Timeouts{FirstByte: time.Second, Idle: 500 * time.Millisecond}
//	err := transport.Fetch(client, req, t, func(resp *http.Response) error {
//		return json.NewDecoder(resp.Body).Decode(&v)
//	})
package transport
