package ticket_test

import (
	"bytes"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/ticket"
)

// output implements ticket.Run and retains nothing.
type output struct{}

func (output) RetainedBytes() int { return 0 }
func (output) Release()           {}

// The first use of a ticket starts the run; later uses join it.
func Example() {
	sealer, err := ticket.NewSealer([][]byte{bytes.Repeat([]byte{1}, ticket.MinKeyBytes)})
	if err != nil {
		fmt.Println(err)
		return
	}
	table := ticket.NewTable[output](ticket.TableConfig{MaxTickets: 8, MaxRetainedBytes: 1 << 10, Slack: time.Second})
	issued, err := table.Issue(0, ticket.Ticket{RequestID: "request-1", Owner: "gateway-1", Incarnation: "1", Expires: time.Minute})
	if err != nil {
		fmt.Println(err)
		return
	}
	text, err := sealer.Seal(issued)
	if err != nil {
		fmt.Println(err)
		return
	}
	for range 2 {
		presented, err := sealer.Open(text)
		if err != nil {
			fmt.Println(err)
			return
		}
		result, _ := table.Use(time.Second, presented, 7, func() output { return output{} })
		fmt.Println(result == ticket.UseStart, result == ticket.UseJoin)
	}
	// Output:
	// true false
	// false true
}
