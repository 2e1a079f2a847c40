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

// An operation has the same ID in every attempt, so that it is safe to resend after a
// lost response.
func Example() {
	attempts := 0
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var operation api.EvacuationOperation
		if err := json.NewDecoder(r.Body).Decode(&operation); err != nil {
			panic(err)
		}
		attempts++
		if attempts == 1 {
			panic(http.ErrAbortHandler) // the response is lost
		}
		answer, _ := json.Marshal(api.OperationResult{OperationID: operation.OperationID, Accepted: true, Version: 3})
		w.Write(answer)
	}))
	defer node.Close()
	connection, err := client.New(client.Config{Addresses: []string{strings.TrimPrefix(node.URL, "http://")}})
	if err != nil {
		fmt.Println(err)
		return
	}
	operation := api.EvacuationOperation{Zone: "north-1"}
	answer, err := connection.Evacuate(context.Background(), &operation)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(answer.Accepted, answer.OperationID == operation.OperationID, attempts)
	// Output: true true 2
}
