package transport

import "sync"

// outgoing is a frame that waits to be written to the link's connection.
type outgoing struct {
	kind  Kind
	frame []byte
	call  *pendingCall // the call, if the frame is its request; otherwise nil
}

// sendQueue is a bounded FIFO queue that uses no memory for items while it is empty.
type sendQueue struct {
	limit     int           // items
	byteLimit int           // bytes of all frames; one larger frame may wait alone
	wake      chan struct{} // holds a token whenever there may be an item to take

	mutex   sync.Mutex
	items   []outgoing
	bytes   int // of the items' frames
	retired bool
}

// pushResult is the result of a push.
type pushResult uint8

const (
	pushed pushResult = iota
	queueFull
	queueRetired // the link has ended; the node must create a new one
)

func newSendQueue(limit, byteLimit int) *sendQueue {
	return &sendQueue{limit: limit, byteLimit: byteLimit, wake: make(chan struct{}, 1)}
}

// push appends an item, unless the queue is full or retired.
func (q *sendQueue) push(item outgoing) pushResult {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.retired {
		return queueRetired
	}
	if len(q.items) >= q.limit || len(q.items) > 0 && q.bytes+len(item.frame) > q.byteLimit {
		return queueFull
	}
	q.items = append(q.items, item)
	q.bytes += len(item.frame)
	q.signalLocked()
	return pushed
}

// signalLocked wakes the link's goroutine. The caller must hold the mutex.
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
	q.bytes -= len(first.frame)
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
	q.bytes = 0
	return items
}

// retire closes the queue permanently if it is empty, and reports whether it was.
func (q *sendQueue) retire() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.retired = len(q.items) == 0
	return q.retired
}
