package routing_test

import (
	"fmt"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// Example admits a request and chooses its replica.
func Example() {
	table, err := routing.NewTable(&routing.Config{
		Version:  1,
		Routes:   []routing.Route{{Name: "r", Host: "h.example", Prefix: "/p/", Shares: []routing.Share{{Service: "gate", Weight: 1}}}},
		Services: []routing.Service{{Name: "gate"}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	pool := &routing.Pool{Ready: []routing.Replica{routing.NewReplica(routing.Replica{ID: "i-1", Service: "gate", Domain: "z", Slots: 6})}}
	pool.Sort()
	view := &routing.View{Table: table, Pools: map[routing.ServiceName]*routing.Pool{"gate": pool}, Domain: "z", Daemons: 1}
	admission, denial := view.Admit("h.example", "/p/x", "")
	if denial != routing.Admitted {
		fmt.Println("denied")
		return
	}
	request := &routing.Request{ID: "a", Route: admission.Route}
	request.Service = admission.Route.Service(request.Key())
	placer := &routing.Placer{Loads: routing.NewLoads(), Health: routing.NewHealth()}
	target, ok := placer.Choose(view, request, routing.Tried{}, time.Now())
	fmt.Println(ok, target.Replica.ID)
	// Output: true i-1
}
