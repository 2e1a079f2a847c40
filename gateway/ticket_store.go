package gateway

import (
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/ticket"
)

// Limits for the ticket table.
const (
	maxTickets = 128 << 10
	// maxRetainedBytes bounds the output of completed requests that is retained for
	// resends.
	maxRetainedBytes = 8 << 20
	// ticketSlack is how long a ticket stays in the table after its expiry.
	ticketSlack = 10 * time.Second
)

// ticketStore holds the tickets that this process issued, and the executions of those that
// were used. It is safe for concurrent use.
type ticketStore struct {
	clock func() time.Duration

	mutex sync.Mutex
	table *ticket.Table[*execution.Execution]
}

func newTicketStore(clock func() time.Duration) *ticketStore {
	return &ticketStore{
		clock: clock,
		table: ticket.NewTable[*execution.Execution](ticket.TableConfig{
			MaxTickets:       maxTickets,
			MaxRetainedBytes: maxRetainedBytes,
			Slack:            ticketSlack,
		}),
	}
}

// issue adds the requested ticket and returns it. If a ticket was already issued for the
// same request id, that one is returned.
func (s *ticketStore) issue(now time.Duration, requested ticket.Ticket) (ticket.Ticket, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Issue(now, requested)
}

// use uses a ticket. Only the first use calls start, while the store is locked; every
// later use joins the execution that start returned.
func (s *ticketStore) use(presented ticket.Ticket, digest uint64, start func() *execution.Execution) (ticket.UseResult, *execution.Execution) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Use(s.clock(), presented, digest, start)
}

// finish records the final state of a request.
func (s *ticketStore) finish(requestID string, state ticket.State) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Finish(requestID, state)
}

// expire removes the tickets that expired longer than ticketSlack ago.
func (s *ticketStore) expire(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Expire(now)
}

// size returns the number of tickets in the table.
func (s *ticketStore) size() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Len()
}

// unused returns the number of tickets that were not used and have not expired.
func (s *ticketStore) unused() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Unused(s.clock())
}
