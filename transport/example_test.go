package transport_test

import (
	"context"
	"fmt"

	"github.com/deckpulley/deckpulley/transport"
)

const kindGreet transport.Kind = 1

// Connects two nodes within one process. Use transport.Listen for a node on TCP.
func Example() {
	memory := transport.NewMemory()
	server, caller := memory.Node("server", "10.0.0.1:7000"), memory.Node("caller", "10.0.0.2:7000")
	defer server.Close()
	defer caller.Close()
	server.Handle(kindGreet, func(_ context.Context, from string, decode func(any) error) (any, error) {
		var greeting string
		if err := decode(&greeting); err != nil {
			return nil, err
		}
		return fmt.Sprintf("%s, %s", greeting, from), nil
	})
	if err := server.Start(); err != nil {
		fmt.Println(err)
		return
	}
	var reply string
	err := caller.Call(context.Background(), "10.0.0.1:7000", kindGreet, "good day", &reply)
	fmt.Println(reply, err)
	// Output: good day, caller <nil>
}
