// Command embedding shows how to use the coordination packages without the
// daemons: three members replicate a table of records through a log and grant
// leases on it, and a holder acts on its copy only while its lease is valid.
// Everything runs in this process, with an in-memory network and store; a
// deployment uses transport.Listen and storage.Open instead.
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

// Message kinds of this program.
const (
	kindLog    transport.Kind = 1 // one-way consensus.Message, member to member
	kindUpdate transport.Kind = 2 // call updateRequest/updateReply, client to the primary
	kindRenew  transport.Kind = 3 // call renewal/grant, holder to the primary
)

// Names of the zone and of its only record.
const (
	apex        registry.Name = "locks.example."
	typeLock                  = registry.FirstPrivateType
	printerLock registry.Name = "printer.locks.example."
)

const (
	// runTimeout bounds the whole run.
	runTimeout = 30 * time.Second
	// callTimeout bounds one call.
	callTimeout = time.Second
	// stepInterval is the time between two polls of a condition.
	stepInterval = 20 * time.Millisecond
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	err := run(ctx, os.Stdout)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "embedding:", err)
		os.Exit(1)
	}
}

// run claims a lock twice, acquires a lease on the table, stops the primary, and
// releases the lock at the next primary. It prints each result.
func run(ctx context.Context, output io.Writer) error {
	network := transport.NewMemory()
	group := consensus.Membership{Members: []consensus.Member{
		{ID: "disk-a", Name: "a", Address: "address-a", Zone: "zone-1"},
		{ID: "disk-b", Name: "b", Address: "address-b", Zone: "zone-2"},
		{ID: "disk-c", Name: "c", Address: "address-c", Zone: "zone-3"},
	}}
	members := make(map[string]*member)
	for i, self := range group.Members {
		started, err := startMember(network, self, group, uint64(i))
		if err != nil {
			return err
		}
		defer started.stop()
		members[self.Address] = started
	}
	client := newHolder(network, group)
	defer client.close()

	// An update is atomic, and applied only if its prerequisites are met.
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
	fmt.Fprintf(output, "lease: valid, serial %d in force everywhere: %s\n", client.activeSerial, records[0].Data)

	// After the loss of the primary, the detector suspects it and the lease expires.
	members[client.primary].stop()
	if err := client.renewUntil(ctx, client.primaryLost); err != nil {
		return fmt.Errorf("waiting for the loss of the primary: %w", err)
	}
	fmt.Fprintf(output, "primary lost, lease valid: %t\n", client.lease.Valid(client.now()))

	// The other two members have every acknowledged update and elect a successor.
	release := registry.NewUpdate(apex, []registry.Record{registry.Equals(lock)}, []registry.Record{registry.DeleteName(printerLock)})
	reply, err := client.update(ctx, release)
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "release at the successor: %s, serial %d\n", reply.Code, reply.Serial)
	return nil
}

// leaseConfig returns a configuration with short leases, so that the program
// finishes quickly.
func leaseConfig() lease.Config {
	return lease.Config{
		Duration:            900 * time.Millisecond,
		ClockDriftMargin:    100 * time.Millisecond,
		MaxQuorumContactAge: 400 * time.Millisecond,
		RenewalInterval:     200 * time.Millisecond,
	}
}

// schema returns the schema of the table: one record type, with at most one record
// per name.
func schema() (*registry.Schema, error) {
	return registry.NewSchema(registry.TypeDeclaration{Type: typeLock, Name: "LOCK", Singleton: true})
}

// errNotPrimary is returned by a member that is not the primary or has stopped.
var errNotPrimary = errors.New("not the primary")
