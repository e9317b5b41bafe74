// Package standin plays the systems that hingewinch meets: the platform, model
// engines and plain services. It is used by tests and by the demo, is no part
// of the product, and is kept small: faults that can be switched on, and no
// simulator.
//
// # Usage
//
//	e := standin.NewEngine(standin.EngineOptions{ID: "e1"})
//	srv := httptest.NewServer(e)
//	e.SetFaults(standin.Faults{BreakAfter: 3})
package standin
