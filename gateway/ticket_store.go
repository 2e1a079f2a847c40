package gateway

import (
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/ticket"
)

// Limits of the ticket table.
const (
	maxTickets = 128 << 10
	// maxRetainedBytes bounds the output of completed requests that is kept for
	// resends.
	maxRetainedBytes = 8 << 20
	// ticketSlack is how long a ticket is remembered after its expiry.
	ticketSlack = 10 * time.Second
)

// ticketStore remembers the tickets that this process issued, and the executions of
// those that were used. It is safe for concurrent use.
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

// issue remembers a ticket and returns it, or the one that was issued before for the
// same request.
func (s *ticketStore) issue(now time.Duration, requested ticket.Ticket) (ticket.Ticket, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Issue(now, requested)
}

// use uses a ticket. The first use calls start, with the store locked, so that every
// later use joins the same execution.
func (s *ticketStore) use(presented ticket.Ticket, digest uint64, start func() *execution.Execution) (ticket.UseResult, *execution.Execution) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Use(s.clock(), presented, digest, start)
}

// finish records how the execution of a request ended.
func (s *ticketStore) finish(requestID string, state ticket.State) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Finish(requestID, state)
}

// expire forgets the tickets whose time is over.
func (s *ticketStore) expire(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Expire(now)
}

// size returns the number of tickets that are remembered.
func (s *ticketStore) size() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Len()
}

// unused counts the tickets that may still be used for the first time.
func (s *ticketStore) unused() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Unused(s.clock())
}
