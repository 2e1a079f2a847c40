package client_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
)

// An order keeps its id over every attempt, so that a lost answer is safe to ask
// for again.
func Example() {
	attempts := 0
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var order api.EvacuationOperation
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			panic(err)
		}
		attempts++
		if attempts == 1 {
			panic(http.ErrAbortHandler) // the answer is lost
		}
		answer, _ := json.Marshal(api.OperationResult{OperationID: order.OperationID, Accepted: true, Version: 3})
		w.Write(answer)
	}))
	defer node.Close()
	connection, err := client.New(client.Config{Addresses: []string{strings.TrimPrefix(node.URL, "http://")}})
	if err != nil {
		fmt.Println(err)
		return
	}
	order := api.EvacuationOperation{Zone: "north-1"}
	answer, err := connection.Evacuate(context.Background(), &order)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(answer.Accepted, answer.OperationID == order.OperationID, attempts)
	// Output: true true 2
}
