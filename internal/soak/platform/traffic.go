package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/internal/soak"
	standin "github.com/deckpulley/deckpulley/internal/standin/platform"
)

const (
	// requestTimeout is how long a client waits for an answer.
	requestTimeout = 3 * time.Second
	// clientsPerGateway is the number of clients of the usual traffic at each machine. A
	// client keeps its connections, and uses them until they are closed.
	clientsPerGateway = 4
	host              = "h.test"
)

// kinds are the path segments of the kinds of requests.
var kinds = []string{"once", "again", "stream"}

// traffic sends requests and judges their answers. It is safe for concurrent use.
type traffic struct {
	site   *site
	record *record
	number atomic.Int64

	mutex    sync.Mutex
	statuses map[string]int // by request ID
}

func newTraffic(s *site) *traffic {
	return &traffic{site: s, record: s.record, statuses: make(map[string]int)}
}

// client returns a client at a machine.
func (t *traffic) client(node int) *standin.Client {
	settings := t.site.gateways[node].settings
	client := &standin.Client{Name: host, Region: settings.Zones[settings.Zone], Zone: settings.Zone}
	for i := range t.site.controls {
		client.Directories = append(client.Directories, t.site.controls[(node+i)%len(t.site.controls)].listens().directory)
	}
	return client
}

// send sends one request of a kind and judges the answer.
func (t *traffic) send(client *standin.Client, kind string) int {
	request := standin.Request{
		ID: fmt.Sprintf("%s-%d", kind, t.number.Add(1)), Method: http.MethodPost, Path: "/" + kind + "/x", Body: "body of " + kind, Wait: requestTimeout,
	}
	sent := time.Now()
	answer := client.Do(context.Background(), request)
	t.record.count(answer)
	if answer.Status == 0 && t.record.isCalm(sent) {
		t.record.report(RuleLost, "%s got no answer: %v", request.ID, answer.Err)
	}
	if reason := standin.WrongAnswer(request, answer); reason != "" {
		t.record.report(RuleAnswer, "%s: %s", request.ID, reason)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.statuses[request.ID] = answer.Status
	return answer.Status
}

// run sends the usual traffic until ctx ends.
func (t *traffic) run(ctx context.Context, ratePerGateway int) {
	var clients sync.WaitGroup
	for node := range t.site.gateways {
		for number := range clientsPerGateway {
			clients.Go(func() { t.runClient(ctx, node, number, time.Second*clientsPerGateway/time.Duration(ratePerGateway)) })
		}
	}
	clients.Wait()
}

func (t *traffic) runClient(ctx context.Context, node, number int, interval time.Duration) {
	client := t.client(node)
	defer client.Close()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := number; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.send(client, kinds[i%len(kinds)])
		}
	}
}

// crowd sends requests of as many clients at the same moment.
func (t *traffic) crowd(event soak.Event) {
	var clients sync.WaitGroup
	for i := range event.Count {
		clients.Go(func() {
			client := t.client(event.Node)
			defer client.Close()
			t.send(client, kinds[i%len(kinds)])
		})
	}
	clients.Wait()
}

// pipelined is how many requests a departing client sends without reading the responses.
const pipelined = 4

// hold opens connections to a gateway, writes a text on each, again and again if it is to
// trickle, and closes them at the end of the event.
func (t *traffic) hold(event soak.Event, text string, trickle bool) {
	var connections sync.WaitGroup
	deadline := time.Now().Add(event.For)
	for range event.Count {
		connections.Go(func() {
			conn, err := net.DialTimeout("tcp", t.site.gateways[event.Node].settings.ListenAddrs.Front, event.For)
			if err != nil {
				return
			}
			defer conn.Close()
			if conn.SetDeadline(deadline) != nil {
				return
			}
			_, err = conn.Write([]byte(text))
			for err == nil && trickle && time.Now().Before(deadline) {
				time.Sleep(trickleInterval)
				_, err = conn.Write([]byte(trickled))
			}
			time.Sleep(time.Until(deadline))
		})
	}
	connections.Wait()
}

const (
	trickleInterval = 20 * time.Millisecond
	// trickled is a chunk of one byte.
	trickled = "1\r\nx\r\n"
)

// depart lets clients go away that have sent requests and read nothing. Their requests may
// run; nobody judges their answers.
func (t *traffic) depart(event soak.Event) {
	request := "POST /again/x HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 4\r\n\r\nbody"
	t.hold(event, strings.Repeat(request, pipelined), false)
}

// trickle keeps requests open whose bodies arrive byte by byte.
func (t *traffic) trickle(event soak.Event) {
	t.hold(event, "POST /once/x HTTP/1.1\r\nHost: "+host+"\r\nTransfer-Encoding: chunked\r\n\r\n", true)
}

// check judges all requests by what the replicas ran.
func (t *traffic) check(runs map[string]int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, status := range t.statuses {
		count := runs[id]
		if strings.HasPrefix(id, "once-") && count > 1 {
			t.record.report(RuleOnce, "%s ran %d times", id, count)
		}
		refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
		if refused && count > 0 {
			t.record.report(RuleRefused, "%s was answered %d and ran %d times", id, status, count)
		}
		if status == http.StatusOK && count == 0 {
			t.record.report(RuleAnswer, "%s was answered 200 and no replica ran it", id)
		}
	}
}
