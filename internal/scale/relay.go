package scale

import (
	"context"
	"fmt"
	"io"
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

// Parameters of the stream and poll measurements.
const (
	tokenInterval     = 33 * time.Millisecond
	relayDuration     = 4 * time.Second
	relayRampDuration = 2 * time.Second // until all streams are open and in steady state
	pollCount         = 2000
)

// relayReading is the cost of a complete gateway while it relays streams.
type relayReading struct {
	streams  int
	events   float64 // per second, as callers received them
	cpu      float64 // fraction of one core, used by the gateway
	resident float64 // bytes
	failed   int     // streams that ended early
}

// measureRelay measures a complete gateway in front of a hollow replica at each of the
// given numbers of streams.
func measureRelay(ctx context.Context, sizes []int) ([]relayReading, error) {
	addresses, err := freeport.Addresses(host, 3)
	if err != nil {
		return nil, err
	}
	replicaAddress, peerAddress, callerAddress := addresses[0], addresses[1], addresses[2]
	list := api.ReplicaList{Replicas: []api.ReplicaEntry{{ID: "replica-0", Service: serviceName(0), Zone: zoneName(0), Address: replicaAddress}}}
	replica, err := startProcess(ctx, childConfig{Role: roleReplica, Name: "replica-0", HTTP: replicaAddress, TokenInterval: tokenInterval.String()})
	if err != nil {
		return nil, err
	}
	defer replica.stop()
	g, err := startGroup(ctx, list)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	gateway, err := startProcess(ctx, childConfig{
		Role: roleGateway, Name: "gateway-0", Zone: zoneName(0), Region: regionName(0),
		Peer: peerAddress, HTTP: callerAddress, Seeds: g.peers, Key: g.key,
	})
	if err != nil {
		return nil, err
	}
	defer gateway.stop()
	if err := awaitLeases(ctx, gateway, 1); err != nil {
		return nil, err
	}
	time.Sleep(settleDuration) // until the gateway's health check has found the replica
	var readings []relayReading
	for _, streams := range sizes {
		measured, err := measureStreams(ctx, gateway, callerAddress, streams)
		if err != nil {
			return nil, err
		}
		readings = append(readings, measured)
	}
	return readings, nil
}

// measureStreams measures the gateway while it relays the given number of streams.
func measureStreams(ctx context.Context, gateway *process, address string, streams int) (relayReading, error) {
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
	time.Sleep(relayRampDuration)
	result := relayReading{streams: streams}
	before, err := gateway.execute(childCommand{})
	eventsBefore := events.Load()
	if err == nil {
		time.Sleep(relayDuration)
		var after sample
		after, err = gateway.execute(childCommand{})
		seconds := float64(after.At-before.At) / float64(time.Second)
		result.events = float64(events.Load()-eventsBefore) / seconds
		result.cpu = float64(after.CPU-before.CPU) / float64(after.At-before.At)
		result.resident = float64(after.Resident)
	}
	result.failed = int(failed.Load())
	cancel()
	group.Wait()
	transport.CloseIdleConnections()
	return result, err
}

// readStream reads a stream until it fails or ends, and counts its events. The returned
// error is never nil.
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

// pollReading is the average cost of one poll of a replica's report.
type pollReading struct {
	bytes float64 // sent and received, including HTTP headers but not TCP and IP headers
	cpu   float64 // seconds of CPU time, poller and replica together
}

// measurePoll measures polls of a hollow replica over one persistent connection. Poller
// and replica both run in this process.
func measurePoll(ctx context.Context) (pollReading, error) {
	addresses, err := freeport.Addresses(host, 1)
	if err != nil {
		return pollReading{}, err
	}
	replica := &hollow.Replica{ID: "replica-00000", Service: serviceName(0), Slots: 16}
	server, err := startHTTP(newReplicaServer(replica), addresses[0])
	if err != nil {
		return pollReading{}, err
	}
	defer server.close()
	var bytes atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{Conn: raw, bytes: &bytes}, err
	}}
	defer transport.CloseIdleConnections()
	caller := &http.Client{Transport: transport}
	started := processorTime()
	for range pollCount {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addresses[0]+api.PathReplicaReport, nil)
		if err != nil {
			return pollReading{}, err
		}
		if err := sendAndDiscard(caller, request); err != nil {
			return pollReading{}, err
		}
	}
	cpuSeconds := time.Duration(processorTime() - started).Seconds()
	return pollReading{bytes: float64(bytes.Load()) / pollCount, cpu: cpuSeconds / pollCount}, nil
}

// countingConn is a connection that counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.bytes.Add(int64(n))
	return n, err
}

// sendAndDiscard sends a request and discards the response.
func sendAndDiscard(caller *http.Client, request *http.Request) error {
	response, err := caller.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
