package ticket_test

import (
	"bytes"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/ticket"
)

// output is a run without any.
type output struct{}

func (output) RetainedBytes() int { return 0 }
func (output) Release()           {}

// A ticket is asked to run once; whoever presents it again joins that run.
func Example() {
	sealer, err := ticket.NewSealer([][]byte{bytes.Repeat([]byte{1}, ticket.MinKeyBytes)})
	if err != nil {
		fmt.Println(err)
		return
	}
	ledger := ticket.NewTable[output](ticket.TableConfig{MaxTickets: 8, MaxRetainedBytes: 1 << 10, Slack: time.Second})
	issued, err := ledger.Issue(0, ticket.Ticket{RequestID: "request-1", Owner: "gateway-1", Incarnation: "1", Expires: time.Minute})
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
		standing, _ := ledger.Use(time.Second, presented, 7, func() output { return output{} })
		fmt.Println(standing == ticket.UseStart, standing == ticket.UseJoin)
	}
	// Output:
	// true false
	// false true
}
