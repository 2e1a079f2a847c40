package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/dispatch"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// exampleBackend has two replicas, the first of which cannot be reached.
type exampleBackend struct{}

func (exampleBackend) Send(_ context.Context, attempt *dispatch.Attempt) (*dispatch.Response, error) {
	if attempt.Replica.ID == "r1" {
		return nil, &dispatch.AttemptError{Reason: dispatch.FailureUnsent, Err: errors.New("connection refused")}
	}
	body := io.NopCloser(strings.NewReader("served by " + attempt.Replica.ID))
	return &dispatch.Response{Status: http.StatusOK, Header: http.Header{}, Body: body}, nil
}

func (exampleBackend) LastReceived(string) time.Time { return time.Now() }

func (exampleBackend) HasIdleConnection(string) bool { return true }

func (exampleBackend) CloseIdleConnections(string) {}

// exampleClient prints the response.
type exampleClient struct{}

func (exampleClient) WriteHead(status int, _ http.Header) { fmt.Print(status, " ") }

func (exampleClient) Write(part []byte) (int, error) { return fmt.Print(string(part)) }

func (exampleClient) Flush() {}

// exampleState returns the state of a registry with one route and two replicas.
func exampleState() (*catalog.State, error) {
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "control-1", Serial: 1}, []string{"control-1"})
	if err != nil {
		return nil, err
	}
	routes := &routemap.Map{
		Version:  1,
		Services: []routemap.Service{{Name: "pages"}},
		Routes: []routemap.Route{{
			Name: "site", Host: "example.test", PathPrefix: "/", Kind: routemap.AtMostOnce, Timeout: time.Second,
			MaxAttempts: 1, Targets: []routemap.Target{{Service: "pages", Weight: 1}},
		}},
	}
	changes, err := configuration.RouteMapChanges(table.View(), routes, map[string]string{"north-1": "north"}, "the operators' text")
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"r1", "r2"} {
		changes = append(changes, registry.Add(catalog.ReplicaRecord(name, catalog.Replica{Service: "pages", Zone: "north-1", Region: "north", Address: name + ":80"})))
	}
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	table.Apply(&update, nil)
	return catalog.Read(table.View())
}

// A request that may run at most once is sent to another replica as long as no byte of it
// was sent.
func Example() {
	state, err := exampleState()
	if err != nil {
		fmt.Println(err)
		return
	}
	dispatcher := dispatch.New(dispatch.Options{Gateway: "gateway-1", Zone: "north-1", Region: "north", Backend: exampleBackend{}})
	dispatcher.Update(state)
	request := &dispatch.Request{ID: "q-1", Method: http.MethodPost, Host: "example.test", Path: "/index", Target: "/index", Arrived: time.Now()}
	requestErr := dispatcher.Serve(context.Background(), request, exampleClient{})
	fmt.Println("\nrejected:", requestErr != nil)
	// Output:
	// 200 served by r2
	// rejected: false
}
