package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	garbleTime    = 10 * time.Second
	routeTimeout  = 4 * time.Second
	garbleShare   = 0.06 // of the answers; the site files have 0.03
	garbleEvery   = 5    // of five replicas, garbleSome garble: the site files have a share of 0.6
	garbleSome    = 3
	linkBytes     = 125_000_000 // a second: a link of 1,000 Mbit/s
	memoryLimitMB = 284         // as in the settings
	restartDelay  = 500 * time.Millisecond
	manyEnds      = 3
	manyMachines  = 2
)

// endlessHead lets the replicas send bytes that are no answer in the place of a few answers. The platform ends each
// process whose memory is over the limit of its settings, and starts it again.
func endlessHead(s *site, trouble bool) (bool, error) {
	if err := s.begin(); err != nil {
		return false, err
	}
	stop := s.startClients()
	defer stop()
	time.Sleep(contact)
	ended := s.watchMemory()
	cutBefore := s.cut.Load()
	if trouble {
		s.note("replicas garble %v of their answers", garbleShare)
		s.setGarbling(true)
	}
	time.Sleep(garbleTime)
	s.setGarbling(false)
	time.Sleep(routeTimeout)
	ends, machines := ended()
	s.note("%d processes ended on %d machines; %d client requests without an answer", ends, machines, s.cut.Load()-cutBefore)
	if ends < manyEnds || machines < manyMachines {
		return false, nil
	}
	s.verdict("Fault: %d times a process ended by itself, on %d machines that had no disruption; %d client requests ended without an answer",
		ends, machines, s.cut.Load()-cutBefore)
	return true, nil
}

func (s *site) setGarbling(on bool) {
	for i, r := range s.replicas {
		r.garbles.Store(on && i%garbleEvery < garbleSome)
	}
}

// garble sends bytes without a line end, as fast as the link permits, until the gateway
// closes the connection. It returns false if the request is to be answered as usual.
func (s *site) garble(r *replica, w http.ResponseWriter, id string) bool {
	if !r.garbles.Load() || rand.Float64() >= garbleShare {
		return false
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer connection.Close()
	junk := []byte(strings.Repeat("x", 1<<20))
	began, sent := time.Now(), 0
	for err == nil {
		var count int
		count, err = r.writeOnLink(connection, junk)
		sent += count
	}
	s.note("replica %s sent %d MB that are no answer to %s in %v", r.id, sent>>20, id, time.Since(began).Round(time.Millisecond))
	return true
}

// writeOnLink writes at the speed of the replica's link, which its connections share.
func (r *replica) writeOnLink(connection net.Conn, bytes []byte) (int, error) {
	r.link.Lock()
	defer r.link.Unlock()
	began := time.Now()
	count, err := connection.Write(bytes)
	time.Sleep(time.Until(began.Add(time.Duration(count) * time.Second / linkBytes)))
	return count, err
}

// watchMemory does what the platform does with memory: it ends a process that is over
// its limit and starts it again. The returned function stops it and tells how often that
// was and on how many machines.
func (s *site) watchMemory() (stop func() (ends, machines int)) {
	done := make(chan struct{})
	var watching sync.WaitGroup
	ends := 0
	onMachines := make(map[*machine]bool)
	watching.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, m := range s.machines {
				resident := residentBytes(m.gateway.Process.Pid)
				if resident <= memoryLimitMB<<20 {
					continue
				}
				ends++
				onMachines[m] = true
				s.note("the platform ends the gateway of %s: it has %d MB, over %d", m.name, resident>>20, memoryLimitMB)
				_ = m.gateway.Process.Signal(syscall.SIGKILL)
				time.Sleep(restartDelay)
				if err := s.startGateway(m); err != nil {
					s.note("the gateway of %s was not started again: %v", m.name, err)
				}
			}
		}
	})
	return func() (int, int) {
		close(done)
		watching.Wait()
		return ends, len(onMachines)
	}
}

// residentBytes returns the resident memory of a process, 0 if it is not known.
func residentBytes(process int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(text), "VmRSS:")
	if !found {
		return 0
	}
	fields := strings.Fields(rest)
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kilobytes << 10
}
