package httpgateway_test

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	steadyRate = 800 // requests a second
	// steadyClients is the number of kept connections of clients.
	steadyClients = 100
	// steadySecondsVariable sets the length of the load in seconds.
	steadySecondsVariable = "DECKPULLEY_STEADY_SECONDS"
	defaultSteadySeconds  = 2
)

// TestSteadyLoadGetsNoBadGateway guards against requests on sound replicas that get 502 or
// no answer, because a request ends the connection of another one. A busy machine may refuse
// requests or let their time run out; that is no failure of this test.
func TestSteadyLoadGetsNoBadGateway(t *testing.T) {
	seconds := defaultSteadySeconds
	if text := os.Getenv(steadySecondsVariable); text != "" {
		var err error
		if seconds, err = strconv.Atoi(text); err != nil {
			t.Fatalf("%s: %v", steadySecondsVariable, err)
		}
	}
	address := startProxy(t)
	var mutex sync.Mutex
	statuses := make(map[int]int)
	unanswered := 0
	turns := make(chan struct{}, steadyRate)
	var clients sync.WaitGroup
	for range steadyClients {
		client := newBodyClient(t, address, "")
		begun := true
		clients.Go(func() {
			for range turns {
				if !begun {
					client.begin("")
				}
				begun = false
				fmt.Fprint(client, "1\r\nx\r\n0\r\n\r\n")
				got, err := client.answer()
				mutex.Lock()
				statuses[got.status]++
				if err != nil {
					unanswered++
					t.Logf("no answer: %v", err)
				}
				mutex.Unlock()
				if err != nil || got.closes {
					client = newBodyClient(t, address, "")
					begun = true
				}
			}
		})
	}
	ticker := time.NewTicker(time.Second / steadyRate)
	defer ticker.Stop()
	for range seconds * steadyRate {
		<-ticker.C
		turns <- struct{}{}
	}
	close(turns)
	clients.Wait()
	t.Logf("%d s: %v by status, %d without an answer", seconds, statuses, unanswered)
	if statuses[http.StatusBadGateway] > 0 || unanswered > 0 {
		t.Errorf("%d requests got 502 and %d no answer, want none", statuses[http.StatusBadGateway], unanswered)
	}
	if statuses[http.StatusOK] == 0 {
		t.Error("no request was served")
	}
}
