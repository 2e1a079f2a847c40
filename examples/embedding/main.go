// Command embedding uses the coordination packages without the daemons: three
// members keep a table of records on a replicated log and grant leases on it, and
// a holder acts on its copy only while its lease is valid. Everything runs in this
// process, over the in-memory network and disks; transport.Listen and storage.Open
// stand in their place on machines.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

// Kinds of messages of this program.
const (
	kindLog    transport.Kind = iota + 1 // one-way consensus.Message, member to member
	kindUpdate                           // call updateRequest/updateReply, anybody to the primary
	kindRenew                            // call renewal/grant, holder to the primary
)

// The table: names below one apex, with one kind of record.
const (
	apex        registry.Name = "locks.example."
	typeLock                  = registry.FirstPrivateType
	printerLock registry.Name = "printer.locks.example."
)

const (
	// patience bounds every wait of the program.
	patience = 30 * time.Second
	// callTimeout bounds one call.
	callTimeout = time.Second
	// stepInterval is the time between two looks at something awaited.
	stepInterval = 20 * time.Millisecond
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	err := run(ctx, os.Stdout)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "embedding:", err)
		os.Exit(1)
	}
}

// run tells a short story about a lock and prints what becomes of it.
func run(ctx context.Context, output io.Writer) error {
	network := transport.NewMemory()
	group := consensus.Membership{Members: []consensus.Member{
		{ID: "disk-a", Name: "a", Address: "address-a", Zone: "zone-1"},
		{ID: "disk-b", Name: "b", Address: "address-b", Zone: "zone-2"},
		{ID: "disk-c", Name: "c", Address: "address-c", Zone: "zone-3"},
	}}
	members := make(map[string]*member)
	for i, described := range group.Members {
		started, err := startMember(network, described, group, uint64(i))
		if err != nil {
			return err
		}
		defer started.stop()
		members[described.Address] = started
	}
	client := newHolder(network, group)
	defer client.close()

	// An update takes effect as a whole, and only if its prerequisites hold.
	lock := registry.Record{Name: printerLock, Type: typeLock, Data: []byte("held by anna")}
	claim := registry.NewUpdate(apex, []registry.Record{registry.NotInUse(printerLock)}, []registry.Record{registry.Add(lock)})
	for range 2 {
		reply, err := client.update(ctx, claim)
		if err != nil {
			return err
		}
		fmt.Fprintf(output, "claim: %s, serial %d\n", reply.Code, reply.Serial)
	}

	// The holder acts on its copy while its lease is valid.
	if err := client.renewUntil(ctx, client.mayAct); err != nil {
		return fmt.Errorf("waiting for the lease: %w", err)
	}
	records := client.table.View().Lookup(printerLock, typeLock)
	fmt.Fprintf(output, "lease: valid, serial %d in force everywhere: %s\n", client.active, records[0].Data)

	// The primary is lost: its silence is noticed, and the lease runs out.
	members[client.primary].stop()
	if err := client.renewUntil(ctx, client.primaryLost); err != nil {
		return fmt.Errorf("waiting for the loss of the primary: %w", err)
	}
	fmt.Fprintf(output, "primary lost, lease valid: %t\n", client.lease.Valid(client.now()))

	// The two others go on with everything that was acknowledged.
	release := registry.NewUpdate(apex, []registry.Record{registry.Equals(lock)}, []registry.Record{registry.DeleteName(printerLock)})
	reply, err := client.update(ctx, release)
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "release at the successor: %s, serial %d\n", reply.Code, reply.Serial)
	return nil
}

// terms are short ones, so that the program is.
func terms() lease.Config {
	return lease.Config{
		Duration:            900 * time.Millisecond,
		ClockDriftMargin:    100 * time.Millisecond,
		MaxQuorumContactAge: 400 * time.Millisecond,
		RenewalInterval:     200 * time.Millisecond,
	}
}

func schema() (*registry.Schema, error) {
	return registry.NewSchema(registry.Kind{Type: typeLock, Name: "LOCK", Singleton: true})
}

// errNotPrimary is what a member answers that does not lead.
var errNotPrimary = errors.New("not the primary")
