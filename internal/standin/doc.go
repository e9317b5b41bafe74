// Package standin has fakes of the systems that hingewinch interacts with: the
// platform, model engines and plain services. Tests and the demo use it; it is not part
// of the product. It is deliberately small: it injects faults on demand, but does not
// simulate the real systems in detail.
//
// # Usage
//
//	e := standin.NewEngine(standin.EngineOptions{ID: "e1"})
//	srv := httptest.NewServer(e)
//	e.SetFaults(standin.Faults{AbortAfter: 3})
package standin
