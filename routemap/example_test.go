package routemap_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/routemap"
)

func Example() {
	routes := routemap.Map{
		Version:  1,
		Services: []routemap.Service{{Name: "pages"}, {Name: "model", MaxConnections: 100}},
		Routes: []routemap.Route{
			{Name: "site", Host: "example.test", PathPrefix: "/", Kind: routemap.Idempotent, Timeout: time.Second, Targets: []routemap.Target{{Service: "pages", Weight: 1}}},
			{Name: "chat", Host: "example.test", PathPrefix: "/chat/", Kind: routemap.Stream, Timeout: 15 * time.Second, Targets: []routemap.Target{{Service: "model", Weight: 1}}},
		},
	}
	fmt.Println("valid:", routes.Validate() == nil)
	table := routemap.NewTable(routes.Routes)
	fmt.Println(table.Lookup("EXAMPLE.test:8080", "/chat/1").Name)
	fmt.Println(table.Lookup("example.test", "/other").Name)

	routes.Routes[1].Targets[0].Service = "gone"
	fmt.Println(routes.Validate())
	// Output:
	// valid: true
	// chat
	// site
	// routemap: routes[1].targets[0].service: unknown service "gone"
}
