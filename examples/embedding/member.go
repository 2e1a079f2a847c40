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

// tickInterval is the interval between ticks of a member's consensus node.
const tickInterval = 20 * time.Millisecond

// updateRequest asks the primary to apply an update.
type updateRequest struct {
	Update registry.Update `cbor:"1,keyasint"`
}

// updateReply is the result of a committed update.
type updateReply struct {
	Code   registry.ResponseCode `cbor:"1,keyasint"`
	Serial uint32                `cbor:"2,keyasint"`
}

// renewal asks the primary for a lease and reports the holder's serials. The field
// names are the keys of the encoded message; lease.RenewalRequest documents the
// fields.
type renewal struct {
	Holder, Incarnation string
	Held, Active        uint32 // the serial received, and the one acted on
	Leaving, Valid      bool   // releases the lease; the lease is valid at the holder
	Term                uint64
}

// leaseRequest converts the renewal to the request type of lease.Grantor.
func (r *renewal) leaseRequest() lease.RenewalRequest {
	return lease.RenewalRequest{
		Holder: r.Holder, Incarnation: r.Incarnation,
		ReceivedSerial: r.Held, ActiveSerial: r.Active,
		Release: r.Leaving, LeaseValid: r.Valid, Term: r.Term,
	}
}

// grant answers a renewal.
type grant struct {
	Term             uint64             `cbor:"1,keyasint"`
	Duration         time.Duration      `cbor:"2,keyasint"`
	ActivationSerial uint32             `cbor:"3,keyasint"`
	SerialInForce    uint32             `cbor:"4,keyasint"` // 0 if not known yet
	Transfer         *registry.Transfer `cbor:"5,keyasint,omitempty"`
}

// entryKey identifies a proposed entry. The index alone is not enough: a later
// leader may overwrite an uncommitted entry at the same index.
type entryKey struct{ index, term uint64 }

// member is one of the three members: its log, the table built from the log, and,
// while it is the primary, the leases. The goroutine of loop owns group, table,
// grantor and pending; other goroutines send it tasks.
type member struct {
	network   transport.Network
	store     storage.Store
	started   time.Time
	addresses map[consensus.ID]string
	tasks     chan func(now time.Duration)
	stopping  chan struct{}
	done      chan struct{}
	stopOnce  sync.Once

	group   *consensus.Node
	table   *registry.Table
	grantor *lease.Grantor                  // nil while not the primary
	pending map[entryKey]chan<- updateReply // proposed, not applied yet
}

// startMember starts a member of a new group. The caller must stop it.
func startMember(memory *transport.Memory, self consensus.Member, group consensus.Membership, seed uint64) (*member, error) {
	kinds, err := schema()
	if err != nil {
		return nil, err
	}
	// The initial table must be the same on all members, so that applying the log
	// gives the same table everywhere.
	table, err := registry.New(apex, kinds, registry.SOA{Primary: "a", Serial: 1}, []string{"a", "b", "c"})
	if err != nil {
		return nil, err
	}
	m := &member{
		network:   memory.Node(self.Name, self.Address),
		store:     storage.NewMemory(self.ID),
		started:   time.Now(),
		addresses: make(map[consensus.ID]string),
		tasks:     make(chan func(time.Duration)),
		stopping:  make(chan struct{}),
		done:      make(chan struct{}),
		table:     table,
		pending:   make(map[entryKey]chan<- updateReply),
	}
	for _, other := range group.Members {
		m.addresses[other.ID] = other.Address
	}
	m.group, err = bootstrap(m.store, group, seed)
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

// bootstrap writes the first snapshot, which contains the members of the group, and
// returns a consensus node that starts from the stored state. After a restart,
// Load also returns the state that was persisted later.
func bootstrap(store storage.Store, group consensus.Membership, seed uint64) (*consensus.Node, error) {
	if err := store.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1, Membership: group}, 2); err != nil {
		return nil, err
	}
	loaded, err := store.Load()
	if err != nil {
		return nil, err
	}
	return consensus.New(consensus.Config{
		ID:        loaded.Identity,
		Seed:      seed,
		HardState: loaded.HardState,
		Snapshot:  loaded.Snapshot,
		Entries:   loaded.Entries,
		Applied:   loaded.Snapshot.Index,
	})
}

// stop stops the member without notifying the others, as if its machine had
// failed. It may be called more than once.
func (m *member) stop() {
	m.stopOnce.Do(func() {
		close(m.stopping)
		<-m.done
		_ = m.network.Close() // the member is not used again, so an error has no effect
		_ = m.store.Close()
	})
}

func (m *member) now() time.Duration { return time.Since(m.started) }

// loop runs ticks and tasks until the member stops.
func (m *member) loop() {
	defer close(m.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stopping:
			return
		case <-ticker.C:
			m.group.Tick(m.now())
		case task := <-m.tasks:
			task(m.now())
		}
		if err := m.processReady(); err != nil {
			return // the state of the store is unknown, so the member must stop
		}
	}
}

// do sends a task to the loop. It returns before the task has run.
func (m *member) do(ctx context.Context, task func(now time.Duration)) error {
	select {
	case m.tasks <- task:
		return nil
	case <-m.done:
		return errNotPrimary
	case <-ctx.Done():
		return ctx.Err()
	}
}

// processReady handles the output of the consensus node: it persists entries and
// state, then sends messages, then applies committed entries.
func (m *member) processReady() error {
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
	m.refreshGrantor()
	return nil
}

// apply applies a committed entry to the table and replies to its proposer.
func (m *member) apply(entry consensus.Entry) error {
	if entry.Kind == consensus.EntryNormal && len(entry.Data) > 0 {
		update, err := registry.DecodeUpdate(entry.Data)
		if err != nil {
			return fmt.Errorf("entry %d: %w", entry.Index, err)
		}
		result := m.table.Apply(&update, nil)
		key := entryKey{entry.Index, entry.Term}
		if reply, found := m.pending[key]; found {
			reply <- updateReply{Code: result.Code, Serial: result.Serial}
			delete(m.pending, key)
		}
	}
	// Once the first entry of this leader's term is applied, all entries of earlier
	// terms are applied too, and the leader may grant leases.
	if term, leading := m.group.Leadership(); leading && entry.Term == term && m.grantor == nil {
		m.grantor = lease.NewGrantor(leaseConfig(), term, m.now(), m.table.Serial())
	}
	return nil
}

// refreshGrantor discards the grantor when its term has ended. Until then it passes
// the newest serial and quorum contact to the grantor.
func (m *member) refreshGrantor() {
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
		_ = m.group.Step(now, message) // peers resend a message that was rejected
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
			m.pending[entryKey{index, term}] = applied
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
	granted := make(chan *grant, 1)
	err := m.do(ctx, func(now time.Duration) { granted <- m.renew(now, request.leaseRequest()) })
	if err != nil {
		return nil, err
	}
	answer := <-granted
	if answer == nil {
		return nil, errNotPrimary
	}
	return answer, nil
}

// renew answers a renewal. It returns nil if this member may not grant leases.
func (m *member) renew(now time.Duration, request lease.RenewalRequest) *grant {
	if m.grantor == nil {
		return nil
	}
	contact, known := m.group.QuorumContact()
	decision := m.grantor.Renew(now, contact, known, request)
	if !decision.QuorumConfirmed {
		return nil
	}
	answer := &grant{
		Term:             m.grantor.Term(),
		Duration:         decision.LeaseDuration,
		ActivationSerial: decision.ActivationSerial,
	}
	if serial, known := m.grantor.SerialInForce(); known {
		answer.SerialInForce = serial
	}
	if request.ReceivedSerial != m.table.Serial() {
		transfer := m.table.TransferSince(request.ReceivedSerial)
		answer.Transfer = &transfer
	}
	return answer
}
