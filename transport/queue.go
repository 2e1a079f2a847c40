package transport

import "sync"

// outgoing is one frame that waits for the connection.
type outgoing struct {
	kind  Kind
	frame []byte
	call  *pendingCall // nil for a one-way message
}

// sendQueue is a bounded first-in-first-out queue that holds no memory while it
// is empty.
type sendQueue struct {
	limit int
	wake  chan struct{} // holds a token while there may be something to take

	mutex   sync.Mutex
	items   []outgoing
	retired bool
}

// pushResult says what became of an item.
type pushResult uint8

const (
	pushed pushResult = iota
	queueFull
	queueRetired // the link has gone; ask the node for a new one
)

func newSendQueue(limit int) *sendQueue {
	return &sendQueue{limit: limit, wake: make(chan struct{}, 1)}
}

func (q *sendQueue) push(item outgoing) pushResult {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.retired {
		return queueRetired
	}
	if len(q.items) >= q.limit {
		return queueFull
	}
	q.items = append(q.items, item)
	q.signal()
	return pushed
}

// signal must be called with the mutex held.
func (q *sendQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes the first item.
func (q *sendQueue) take() (outgoing, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.items) == 0 {
		return outgoing{}, false
	}
	first := q.items[0]
	q.items[0] = outgoing{}
	q.items = q.items[1:]
	if len(q.items) == 0 {
		q.items = nil
	} else {
		q.signal()
	}
	return first, true
}

// takeAll empties the queue.
func (q *sendQueue) takeAll() []outgoing {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	items := q.items
	q.items = nil
	return items
}

// retire closes an empty queue for good.
func (q *sendQueue) retire() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.retired = len(q.items) == 0
	return q.retired
}
