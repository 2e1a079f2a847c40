package standin

import (
	"context"
	"sync"
	"time"
)

// identity is the part of a response that identifies its request and run.
type identity struct {
	request string
	run     string
	tokens  int
	cached  int
}

// identitySwap lets two concurrent requests swap their identities.
type identitySwap struct {
	mutex   sync.Mutex
	waiting *swapPartner // nil if no request waits
}

// swapPartner is a request that waits for another one to swap identities with.
type swapPartner struct {
	own   identity
	other chan identity // buffered, so that the other request never blocks
}

// exchange swaps identities with another request and returns the other one's. It returns
// false if no other request calls it within the timeout.
func (s *identitySwap) exchange(ctx context.Context, own identity, timeout time.Duration) (identity, bool) {
	s.mutex.Lock()
	if partner := s.waiting; partner != nil {
		s.waiting = nil
		partner.other <- own
		s.mutex.Unlock()
		return partner.own, true
	}
	partner := &swapPartner{own: own, other: make(chan identity, 1)}
	s.waiting = partner
	s.mutex.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case other := <-partner.other:
		return other, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.withdraw(partner)
}

// withdraw removes a waiting partner. If another request has just swapped with it, it
// returns the identity of that request instead.
func (s *identitySwap) withdraw(partner *swapPartner) (identity, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting == partner {
		s.waiting = nil
		return identity{}, false
	}
	return <-partner.other, true
}
