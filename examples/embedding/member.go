package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// tickInterval is how often a member looks at the clock.
const tickInterval = 20 * time.Millisecond

// updateRequest asks the primary to apply an update.
type updateRequest struct {
	Update registry.Update `cbor:"1,keyasint"`
}

// updateReply is the result of an update that was committed.
type updateReply struct {
	Code   registry.ResponseCode `cbor:"1,keyasint"`
	Serial uint32                `cbor:"2,keyasint"`
}

// renewal asks the primary for a lease, and tells what the holder has.
type renewal struct {
	Holder, Incarnation string
	Held, Active        uint32
	Leaving, Valid      bool
	Term                uint64
}

// request is the renewal as the grantor sees it.
func (r *renewal) request() lease.Request {
	return lease.Request{
		Holder: r.Holder, Incarnation: r.Incarnation,
		ReceivedSerial: r.Held, ActiveSerial: r.Active,
		Release: r.Leaving, LeaseValid: r.Valid, Term: r.Term,
	}
}

// grant answers a renewal.
type grant struct {
	Term     uint64             `cbor:"1,keyasint"`
	Length   time.Duration      `cbor:"2,keyasint"`
	Activate uint32             `cbor:"3,keyasint"`
	InForce  uint32             `cbor:"4,keyasint"` // 0 is not known yet
	Transfer *registry.Transfer `cbor:"5,keyasint,omitempty"`
}

// entryKey names a proposed entry: another leader may use the index again.
type entryKey struct{ index, term uint64 }

// member is one of the three: a log, the table that follows from it, and, while
// it leads, the leases. One goroutine owns all of it; others send it work.
type member struct {
	network   transport.Network
	store     storage.Store
	started   time.Time
	addresses map[consensus.ID]string
	work      chan func(now time.Duration)
	quit      chan struct{}
	done      chan struct{}
	stopOnce  sync.Once

	group   *consensus.Node
	table   *registry.Table
	grantor *lease.Grantor // nil while not the primary
	waiting map[entryKey]chan<- updateReply
}

func startMember(memory *transport.Memory, self consensus.Member, group consensus.Membership, seed uint64) (*member, error) {
	kinds, err := schema()
	if err != nil {
		return nil, err
	}
	// Equal on all members: the log then makes equal tables of it.
	table, err := registry.New(apex, kinds, registry.SOA{Primary: "a", Serial: 1}, []string{"a", "b", "c"})
	if err != nil {
		return nil, err
	}
	m := &member{
		network:   memory.Node(self.Name, self.Address),
		store:     storage.NewMemory(self.ID),
		started:   time.Now(),
		addresses: make(map[consensus.ID]string),
		work:      make(chan func(time.Duration)),
		quit:      make(chan struct{}),
		done:      make(chan struct{}),
		table:     table,
		waiting:   make(map[entryKey]chan<- updateReply),
	}
	for _, other := range group.Members {
		m.addresses[other.ID] = other.Address
	}
	// The first snapshot founds the group. After a restart, Load returns the rest.
	if err := m.store.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1, Membership: group}, 2); err != nil {
		return nil, err
	}
	loaded, err := m.store.Load()
	if err != nil {
		return nil, err
	}
	m.group, err = consensus.New(consensus.Config{
		ID:        loaded.Identity,
		Seed:      seed,
		HardState: loaded.HardState,
		Snapshot:  loaded.Snapshot,
		Entries:   loaded.Entries,
		Applied:   loaded.Snapshot.Index,
	})
	if err != nil {
		return nil, err
	}
	m.network.Handle(kindLog, m.serveLog)
	m.network.Handle(kindUpdate, m.serveUpdate)
	m.network.Handle(kindRenew, m.serveRenew)
	if err := m.network.Start(); err != nil {
		return nil, err
	}
	go m.loop()
	return m, nil
}

// stop ends the member, as a lost machine does for the others.
func (m *member) stop() {
	m.stopOnce.Do(func() {
		close(m.quit)
		<-m.done
		_ = m.network.Close() // nothing is left to lose
		_ = m.store.Close()
	})
}

func (m *member) now() time.Duration { return time.Since(m.started) }

func (m *member) loop() {
	defer close(m.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.quit:
			return
		case <-ticker.C:
			m.group.Tick(m.now())
		case task := <-m.work:
			task(m.now())
		}
		if err := m.follow(); err != nil {
			return // a disk in doubt: the process must not go on
		}
	}
}

// do runs a task in the loop.
func (m *member) do(ctx context.Context, task func(now time.Duration)) error {
	select {
	case m.work <- task:
		return nil
	case <-m.done:
		return errNotPrimary
	case <-ctx.Done():
		return ctx.Err()
	}
}

// follow carries out what the log asks for: persist, then send, then apply.
func (m *member) follow() error {
	for m.group.HasReady() {
		ready := m.group.Ready()
		if err := storage.Persist(m.store, ready); err != nil {
			return err
		}
		for i := range ready.Messages {
			m.network.Send(m.addresses[ready.Messages[i].To], kindLog, &ready.Messages[i])
		}
		for _, entry := range ready.CommittedEntries {
			if err := m.apply(entry); err != nil {
				return err
			}
		}
		m.group.Advance(ready)
	}
	m.keepLeadership()
	return nil
}

func (m *member) apply(entry consensus.Entry) error {
	if entry.Kind == consensus.EntryNormal && len(entry.Data) > 0 {
		update, err := registry.DecodeUpdate(entry.Data)
		if err != nil {
			return fmt.Errorf("entry %d: %w", entry.Index, err)
		}
		result := m.table.Apply(&update, nil)
		key := entryKey{entry.Index, entry.Term}
		if reply, waits := m.waiting[key]; waits {
			reply <- updateReply{Code: result.Code, Serial: result.Serial}
			delete(m.waiting, key)
		}
	}
	// The first own entry tells that everything from before is in the table.
	if term, leading := m.group.Leadership(); leading && entry.Term == term && m.grantor == nil {
		m.grantor = lease.NewGrantor(terms(), term, m.now(), m.table.Serial())
	}
	return nil
}

// keepLeadership ends the leadership with its term, and tells the leases what is new.
func (m *member) keepLeadership() {
	if m.grantor == nil {
		return
	}
	if term, leading := m.group.Leadership(); !leading || term != m.grantor.Term() {
		m.grantor = nil
		return
	}
	m.grantor.SetSerial(m.table.Serial())
	if contact, known := m.group.QuorumContact(); known {
		m.grantor.SetQuorumContact(contact)
	}
}

func (m *member) serveLog(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var message consensus.Message
	if err := decode(&message); err != nil {
		return nil, err
	}
	return nil, m.do(ctx, func(now time.Duration) {
		_ = m.group.Step(now, message) // what cannot be used is sent again
	})
}

func (m *member) serveUpdate(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var request updateRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	data, err := registry.EncodeUpdate(&request.Update)
	if err != nil {
		return nil, err
	}
	proposed := make(chan error, 1)
	applied := make(chan updateReply, 1)
	err = m.do(ctx, func(now time.Duration) {
		index, term, err := m.group.Propose(now, data)
		if err == nil {
			m.waiting[entryKey{index, term}] = applied
		}
		proposed <- err
	})
	if err != nil {
		return nil, err
	}
	if err := <-proposed; err != nil {
		return nil, err
	}
	select {
	case reply := <-applied:
		return &reply, nil
	case <-m.done:
		return nil, errNotPrimary
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (m *member) serveRenew(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var request renewal
	if err := decode(&request); err != nil {
		return nil, err
	}
	decided := make(chan *grant, 1)
	err := m.do(ctx, func(now time.Duration) { decided <- m.renew(now, request.request()) })
	if err != nil {
		return nil, err
	}
	answer := <-decided
	if answer == nil {
		return nil, errNotPrimary
	}
	return answer, nil
}

// renew returns nil if this member may not grant.
func (m *member) renew(now time.Duration, request lease.Request) *grant {
	if m.grantor == nil {
		return nil
	}
	contact, known := m.group.QuorumContact()
	decision := m.grantor.Renew(now, contact, known, request)
	if !decision.Authoritative {
		return nil
	}
	answer := &grant{Term: m.grantor.Term(), Length: decision.LeaseDuration, Activate: decision.ActivationSerial}
	if serial, known := m.grantor.SerialInForce(); known {
		answer.InForce = serial
	}
	if request.ReceivedSerial != m.table.Serial() {
		transfer := m.table.TransferSince(request.ReceivedSerial)
		answer.Transfer = &transfer
	}
	return answer
}
