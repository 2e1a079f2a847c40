package benchmark

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/control"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

const (
	// awaitTimeout is the time limit of every wait for a condition.
	awaitTimeout = 20 * time.Second
	// callTimeout is the time limit of one call to a node.
	callTimeout = 5 * time.Second
	keyBytes    = 32
	// hopsExhausted is a hop count at which a node no longer forwards an update.
	hopsExhausted = 3
	// requestor is the name of the sender in the updates.
	requestor = "gateway:benchmark"
	// updatedNames is the number of different names in the table that updates change in
	// turn.
	updatedNames = 1000
	// noSnapshots disables snapshots: it is a snapshot interval, in entries, that no run
	// reaches.
	noSnapshots = 1 << 40
)

// errTimeout means that a condition was not met within awaitTimeout.
var errTimeout = errors.New("condition not met before the timeout")

// await polls a condition until it is true or awaitTimeout has passed. what describes the
// condition in the error.
func await(what string, interval time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(interval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", what, errTimeout)
}

// member is one control node. It can be stopped and restarted with its stored data.
type member struct {
	name             string
	address          string // peer address; it stays the same across restarts
	folder           string
	snapshotInterval uint64
	group            *group

	node    *control.Node // nil while stopped
	network *transport.Node
	server  *http.Server
	serving sync.WaitGroup
	// operatorAddress is the operator address since the last start.
	operatorAddress string
	// openTime is the time that the last start took to open the storage and create the
	// node from it.
	openTime time.Duration
}

// group is a group of control nodes in this process, together with a client for it.
type group struct {
	folder  string
	key     []byte
	members []*member
	// electionTimeout is the election timeout of the members; zero selects the default.
	electionTimeout time.Duration
	client          *transport.Node
	log             *slog.Logger
	http            *http.Client
	// sent is the number of the last update sent by updateAt.
	sent atomic.Uint64
}

// newGroup starts a new group and waits until it applies updates. The caller must call
// close.
func newGroup(voters int, snapshotInterval uint64, log *slog.Logger) (*group, error) {
	return newGroupWithElectionTimeout(voters, snapshotInterval, 0, log)
}

// newGroupWithElectionTimeout is like newGroup, but sets the election timeout of the
// members.
func newGroupWithElectionTimeout(voters int, snapshotInterval uint64, electionTimeout time.Duration, log *slog.Logger) (*group, error) {
	g := &group{
		key:             make([]byte, keyBytes),
		electionTimeout: electionTimeout,
		log:             log,
		http:            &http.Client{Timeout: callTimeout},
	}
	_, _ = rand.Read(g.key) // never fails; see package crypto/rand
	if err := g.open(voters, snapshotInterval); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

func (g *group) open(voters int, snapshotInterval uint64) error {
	var err error
	if g.folder, err = os.MkdirTemp("", "deckpulley-bench-"); err != nil {
		return fmt.Errorf("creating a folder: %w", err)
	}
	if g.client, err = g.listen("benchmark", loopback); err != nil {
		return err
	}
	if err := g.client.Start(); err != nil {
		return fmt.Errorf("starting the client: %w", err)
	}
	for i := range voters {
		name := fmt.Sprintf("control-%d", i+1)
		added := &member{name: name, folder: filepath.Join(g.folder, name), snapshotInterval: snapshotInterval, group: g}
		if added.network, err = g.listen(name, loopback); err != nil {
			return err
		}
		added.address = added.network.Address()
		g.members = append(g.members, added)
	}
	for _, member := range g.members {
		if err := member.start(); err != nil {
			return err
		}
	}
	return await("the first update", time.Millisecond, func() bool { return g.probe(context.Background()) == nil })
}

func (g *group) listen(name, address string) (*transport.Node, error) {
	node, err := transport.Listen(transport.Config{Name: name, Listen: address, Keys: [][]byte{g.key}}, g.log)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return node, nil
}

func (g *group) close() {
	for _, member := range g.members {
		if err := member.stop(); err != nil {
			g.log.Warn("stopping", "node", member.name, "error", err)
		}
	}
	if g.client != nil {
		_ = g.client.Close()
	}
	g.http.CloseIdleConnections()
	if g.folder != "" {
		_ = os.RemoveAll(g.folder)
	}
}

// start starts a member with its stored data, if there is any.
func (m *member) start() error {
	var err error
	if m.network == nil {
		if m.network, err = m.group.listen(m.name, m.address); err != nil {
			return err
		}
	}
	started := time.Now()
	store, err := storage.Open(m.folder)
	if err != nil {
		return fmt.Errorf("%s: %w", m.name, err)
	}
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("%s: listening for operators: %w", m.name, err)
	}
	m.operatorAddress = listener.Addr().String()
	m.node, err = control.New(m.options(store))
	if err != nil {
		return errors.Join(err, listener.Close(), store.Close())
	}
	m.openTime = time.Since(started)
	if err := m.node.Start(); err != nil {
		return err
	}
	m.server = m.node.Server()
	server := m.server
	m.serving.Go(func() { _ = server.Serve(listener) })
	return nil
}

func (m *member) options(store storage.Store) control.Options {
	initial := make(map[string]string)
	for _, other := range m.group.members {
		initial[other.name] = other.address
	}
	return control.Options{
		Name:             m.name,
		Zone:             "zone-" + m.name,
		Region:           "region-" + m.name,
		PeerAddress:      m.address,
		OperatorAddress:  m.operatorAddress,
		InitialControl:   initial,
		Network:          m.network,
		Store:            store,
		Logger:           m.group.log,
		SnapshotInterval: m.snapshotInterval,
		ElectionTimeout:  m.group.electionTimeout,
	}
}

// stop stops a member immediately, without transferring leadership.
func (m *member) stop() error {
	if m.node == nil {
		if m.network != nil {
			_ = m.network.Close()
		}
		return nil
	}
	err := m.node.Stop()
	_ = m.server.Close()
	m.serving.Wait()
	m.node, m.network = nil, nil
	return err
}

// serial returns the serial of the member's own table.
func (m *member) serial() (uint32, error) {
	response, err := m.group.http.Get("http://" + m.operatorAddress + api.PathConfiguration)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var answer api.ConfigurationAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return 0, err
	}
	return answer.Serial, nil
}

// primary returns the current leader, according to the first member that responds.
func (g *group) primary() (*member, error) {
	for _, member := range g.members {
		if member.node == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		var reply peer.HelloReply
		err := g.client.Call(ctx, member.address, peer.KindHello, &peer.Hello{Name: "benchmark"}, &reply)
		cancel()
		if err != nil {
			continue
		}
		for _, listed := range reply.Members {
			if listed.ID == reply.Leader {
				return g.memberAt(listed.Address)
			}
		}
	}
	return nil, fmt.Errorf("finding the primary: %w", errTimeout)
}

// memberAt returns the running member with the given peer address.
func (g *group) memberAt(address string) (*member, error) {
	for _, member := range g.members {
		if member.address == address && member.node != nil {
			return member, nil
		}
	}
	return nil, fmt.Errorf("no running member at %s", address)
}

// probe sends an update to the current primary.
func (g *group) probe(ctx context.Context) error {
	primary, err := g.primary()
	if err != nil {
		return err
	}
	_, err = g.probeAt(ctx, primary)
	return err
}

// probeAt is like updateAt, but changes a record that no other update changes.
func (g *group) probeAt(ctx context.Context, at *member) (uint32, error) {
	condition := catalog.Condition{State: catalog.ConditionUp, Incarnation: time.Now().String()}
	return g.send(ctx, at, catalog.ConditionRecord("probe", condition))
}

// updateAt sends the next update to a member, which must be the primary, and returns the
// serial of the table after the update.
func (g *group) updateAt(ctx context.Context, at *member) (uint32, error) {
	return g.send(ctx, at, updateRecord(g.sent.Add(1)))
}

// send sends an update that adds one record, like the updates that report the results of
// the gateways' health checks.
func (g *group) send(ctx context.Context, at *member, record registry.Record) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := peer.UpdateRequest{
		Update: registry.NewUpdate(catalog.Apex, nil, []registry.Record{registry.Add(record)}),
		Hops:   hopsExhausted,
	}
	request.Update.Requestor = requestor
	var reply peer.UpdateReply
	if err := g.client.Call(ctx, at.address, peer.KindUpdate, &request, &reply); err != nil {
		return 0, err
	}
	if reply.Code != registry.NoError {
		return 0, fmt.Errorf("update rejected with code %v", reply.Code)
	}
	return reply.Serial, nil
}

// updateRecord returns the record that the update with the given number adds.
func updateRecord(number uint64) registry.Record {
	condition := catalog.Condition{State: catalog.ConditionUp, Incarnation: fmt.Sprintf("incarnation-%d", number)}
	return catalog.ConditionRecord(fmt.Sprintf("replica-%d", number%updatedNames), condition)
}

// applyOperation sends an operation of an operator or of the platform to the primary and waits
// until it is in force.
func (g *group) applyOperation(request peer.OperationRequest) (*api.OperationResult, error) {
	primary, err := g.primary()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	request.WaitMS = awaitTimeout.Milliseconds()
	var reply peer.OperationReply
	if err := g.client.Call(ctx, primary.address, peer.KindOperation, &request, &reply); err != nil {
		return nil, fmt.Errorf("operation: %w", err)
	}
	switch {
	case reply.Error != nil:
		return nil, fmt.Errorf("operation: %w", reply.Error)
	case !reply.Answer.Accepted:
		return nil, fmt.Errorf("operation rejected: %w", reply.Answer.Error)
	}
	return reply.Answer, nil
}
