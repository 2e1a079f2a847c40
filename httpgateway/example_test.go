package httpgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/httpgateway"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

const exampleDocument = `
regions: {north: {zones: [north-1], capacity: 1}}
services: {}
routes: {}
http:
  services: {pages: {}}
  routes:
    site: {host: example.test, path_prefix: /, kind: repeatable, timeout_ms: 1000, targets: [{service: pages, weight: 1}]}
`

// exampleState returns the state of a registry that contains exampleDocument and one
// replica. In production an agent receives the state from the primary.
func exampleState(replica string) (*catalog.State, error) {
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "control-1", Serial: 1}, []string{"control-1"})
	if err != nil {
		return nil, err
	}
	document, err := configuration.Load(exampleDocument)
	if err != nil {
		return nil, err
	}
	changes, err := configuration.Changes(table.View(), document, 1, "anna", exampleDocument)
	if err != nil {
		return nil, err
	}
	changes = append(changes, registry.Add(catalog.ReplicaRecord("r1", catalog.Replica{Service: "pages", Zone: "north-1", Region: "north", Address: replica})))
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	table.Apply(&update, nil)
	return catalog.Read(table.View())
}

func ExampleProxy() {
	headers := httpgateway.DefaultHeaders()
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID)) // a replica must echo the request ID
		fmt.Fprint(w, "served by ", r.Header.Get(headers.Replica))
	}))
	defer replica.Close()

	network := transport.NewMemory()
	proxy := httpgateway.NewProxy(httpgateway.ProxyOptions{
		Info:    peer.GatewayInfo{Name: "gateway-1", Zone: "north-1", Region: "north"},
		Network: network.Node("gateway-1", "gateway-1:1"),
	})
	state, err := exampleState(replica.Listener.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	proxy.Update(state)
	gateway := httptest.NewServer(proxy)
	defer gateway.Close()

	request, _ := http.NewRequest(http.MethodGet, gateway.URL+"/index", nil)
	request.Host = "example.test"
	request.Header.Set(headers.RequestID, "q-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	fmt.Println(response.StatusCode, string(text))
	// Output: 200 served by r1
}
