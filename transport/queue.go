package transport

import "sync"

// outgoing is one frame to be written to the link's connection.
type outgoing struct {
	kind  Kind
	frame []byte
	call  *pendingCall // the call whose request it is, else nil
}

// sendQueue is a bounded first-in-first-out queue that uses no memory for items
// while it is empty.
type sendQueue struct {
	limit int           // items
	wake  chan struct{} // has a token whenever there may be something to take

	mutex   sync.Mutex
	items   []outgoing
	retired bool
}

// pushResult is the result of a push.
type pushResult uint8

const (
	pushed pushResult = iota
	queueFull
	queueRetired // the link has ended; the node makes a new one
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
	q.signalLocked()
	return pushed
}

// signalLocked must be called with the mutex held.
func (q *sendQueue) signalLocked() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the first item. It returns false if there is none.
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
		q.signalLocked()
	}
	return first, true
}

// takeAll removes and returns all items.
func (q *sendQueue) takeAll() []outgoing {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	items := q.items
	q.items = nil
	return items
}

// retire closes the queue for good if it is empty, and reports whether it was.
func (q *sendQueue) retire() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.retired = len(q.items) == 0
	return q.retired
}
