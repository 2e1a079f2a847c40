package scale

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/internal/freeport"
	"github.com/deckpulley/deckpulley/internal/hollow"
)

// Shape of the streams whose relaying is measured.
const (
	tokenGap   = 33 * time.Millisecond
	relayTime  = 4 * time.Second
	relayBegin = 2 * time.Second // until all streams run evenly
	pollCount  = 2000
)

// relayReading is what a real gateway costs while it relays streams.
type relayReading struct {
	streams  int
	events   float64 // per second, as callers received them
	cpu      float64 // share of one core of the gateway
	resident float64 // bytes
	failed   int
}

// measureRelay measures a real gateway before a hollow replica.
func measureRelay(ctx context.Context, sizes []int) ([]relayReading, error) {
	addresses, err := freeport.Addresses(host, 3)
	if err != nil {
		return nil, err
	}
	replicaAt, peerAt, callerAt := addresses[0], addresses[1], addresses[2]
	list := api.ReplicaList{Replicas: []api.ReplicaEntry{{ID: "replica-0", Service: serviceName(0), Zone: zoneName(0), Address: replicaAt}}}
	replica, err := startProcess(ctx, setup{Role: roleReplica, Name: "replica-0", HTTP: replicaAt, Gap: tokenGap.String()})
	if err != nil {
		return nil, err
	}
	defer replica.stop()
	g, err := startGroup(ctx, list)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	gateway, err := startProcess(ctx, setup{
		Role: roleGateway, Name: "gateway-0", Zone: zoneName(0), Region: regionName(0),
		Peer: peerAt, HTTP: callerAt, Seeds: g.peers, Key: g.key,
	})
	if err != nil {
		return nil, err
	}
	defer gateway.stop()
	if err := awaitLeases(ctx, gateway, 1); err != nil {
		return nil, err
	}
	time.Sleep(settleTime) // the replica is watched and found up
	var readings []relayReading
	for _, streams := range sizes {
		one, err := relayOnce(ctx, gateway, callerAt, streams)
		if err != nil {
			return nil, err
		}
		readings = append(readings, one)
	}
	return readings, nil
}

// relayOnce keeps a number of streams open and measures the gateway meanwhile.
func relayOnce(ctx context.Context, gateway *process, address string, streams int) (relayReading, error) {
	ctx, cancel := context.WithCancel(ctx)
	transport := &http.Transport{MaxIdleConns: streams}
	caller, err := client.New(client.Config{Addresses: []string{address}, HTTP: &http.Client{Transport: transport}})
	if err != nil {
		cancel()
		return relayReading{}, err
	}
	var events, failed atomic.Int64
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			request := api.GenerateRequest{
				RequestID: fmt.Sprintf("relay-%d-%d", streams, i), Model: modelName(0),
				PromptTokens: 1, MaxTokens: api.MaxOutputTokens, WaitMS: api.MaxWaitMS, Repeatable: true,
			}
			if err := readStream(ctx, caller, request, address, &events); err != nil && ctx.Err() == nil {
				failed.Add(1)
			}
		})
	}
	time.Sleep(relayBegin)
	result := relayReading{streams: streams}
	before, err := gateway.ask(order{})
	begun := events.Load()
	if err == nil {
		time.Sleep(relayTime)
		var after sample
		after, err = gateway.ask(order{})
		seconds := float64(after.At-before.At) / float64(time.Second)
		result.events = float64(events.Load()-begun) / seconds
		result.cpu = float64(after.CPU-before.CPU) / float64(after.At-before.At)
		result.resident = float64(after.Resident)
	}
	result.failed = int(failed.Load())
	cancel()
	group.Wait()
	transport.CloseIdleConnections()
	return result, err
}

func readStream(ctx context.Context, caller *client.Client, request api.GenerateRequest, address string, events *atomic.Int64) error {
	stream, err := caller.OpenStream(ctx, request, address)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		if _, err := stream.Next(); err != nil {
			return err
		}
		events.Add(1)
	}
}

// pollReading is what one poll of a replica's report costs.
type pollReading struct {
	bytes float64 // both ways, HTTP included, TCP and IP not
	cpu   float64 // seconds of both ends together
}

// measurePoll polls a hollow replica over one kept connection.
func measurePoll(ctx context.Context) (pollReading, error) {
	addresses, err := freeport.Addresses(host, 1)
	if err != nil {
		return pollReading{}, err
	}
	replica := &hollow.Replica{ID: "replica-00000", Service: serviceName(0), Slots: 16}
	server := &http.Server{Handler: replica.Handler(), ReadHeaderTimeout: time.Minute}
	if err := serveHTTP(server, addresses[0]); err != nil {
		return pollReading{}, err
	}
	defer func() { _ = server.Close() }()
	var bytes atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{Conn: raw, bytes: &bytes}, err
	}}
	defer transport.CloseIdleConnections()
	caller := &http.Client{Transport: transport}
	began := processorTime()
	for range pollCount {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addresses[0]+api.PathReplicaReport, nil)
		if err != nil {
			return pollReading{}, err
		}
		if err := drain(caller, request); err != nil {
			return pollReading{}, err
		}
	}
	spent := time.Duration(processorTime() - began).Seconds()
	return pollReading{bytes: float64(bytes.Load()) / pollCount, cpu: spent / pollCount}, nil
}

// countingConn counts what passes both ways.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.bytes.Add(int64(n))
	return n, err
}
