package turnover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet/relay"
	"github.com/deckpulley/deckpulley/internal/freeport"
	standin "github.com/deckpulley/deckpulley/internal/standin/platform"
	"github.com/deckpulley/deckpulley/platform"
)

const (
	zoneCount = 3
	// maxMachines bounds the machines of a plan: each pair has relays of its own.
	maxMachines = 40
	// replicasPerZone is the number of replicas in each zone.
	replicasPerZone = 2
	listLag         = 300 * time.Millisecond
	service         = "s"
	// relayHost is the address of all relays.
	relayHost = "127.0.0.1"
	// regionDelay is the delay of each direction between two regions.
	regionDelay = 20 * time.Millisecond
	// peerPorts is the number of peer ports of a machine.
	peerPorts = 2
	// portCount is the number of ports of a machine.
	portCount = 6
)

// Numbers of the loopback networks 127.a.b.0/24 that plays use.
const (
	firstNetwork    = 16
	networkCount    = 40
	subnetworkCount = 250
)

// site has the processes and stand-ins of a play.
type site struct {
	plan    Plan
	options Options
	links   *relay.Network
	list    *standin.List
	network string // of the machines' addresses, without the last number
	ports   []int

	replicas []*standin.Replica

	mutex    sync.Mutex
	machines []*machine
}

// newSite prepares the machines of a plan, including the successors, which are started later.
func newSite(plan Plan, options Options) (*site, error) {
	id := os.Getpid()
	s := &site{plan: plan, options: options, links: relay.NewLossy()}
	s.network = fmt.Sprintf("127.%d.%d", firstNetwork+id%networkCount, id/networkCount%subnetworkCount)
	var err error
	if s.ports, err = findPorts(s.network); err != nil {
		return nil, err
	}
	for number := range zoneCount * replicasPerZone {
		s.replicas = append(s.replicas, standin.NewReplica(fmt.Sprint("i", number), zoneOf(number), service))
	}
	s.list = standin.NewList(listLag, 0, s.replicas...)
	for number := range plan.Machines {
		m, err := s.newMachine(number, zoneOf(number), number < zoneCount, s.seeds(0, 1, 2))
		if err != nil {
			return nil, errors.Join(err, s.close())
		}
		s.machines = append(s.machines, m)
	}
	return s, nil
}

func zoneOf(number int) string { return fmt.Sprint("z", number%zoneCount+1) }

// findPorts returns ports that are free on the first address of a network. The last ones are
// the peer ports, in succession.
func findPorts(network string) ([]int, error) {
	addresses, err := freeport.Addresses(network+".1", portCount-1)
	if err != nil {
		return nil, err
	}
	var ports []int
	for _, address := range addresses {
		_, text, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		port, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return append(ports, ports[len(ports)-1]+1), nil
}

func (s *site) ip(number int) string { return fmt.Sprintf("%s.%d", s.network, number+1) }

func (s *site) address(number, port int) string {
	return net.JoinHostPort(s.ip(number), strconv.Itoa(s.ports[port]))
}

// Positions in site.ports.
const (
	portFront = iota
	portControl
	portDirectory
	portReadiness
	portPeers
)

// seeds returns the seeds that name the machines with some numbers.
func (s *site) seeds(numbers ...int) []string {
	var seeds []string
	for _, number := range numbers {
		seeds = append(seeds, s.address(number, portControl))
	}
	return seeds
}

// total is the number of machines of the whole play.
func (s *site) total() int { return s.plan.Machines + len(s.plan.Replacements) }

// newMachine returns a machine that has not been started.
func (s *site) newMachine(number int, zone string, control bool, seeds []string) (*machine, error) {
	m := &machine{name: fmt.Sprint("machine-", number), ip: s.ip(number), zone: zone}
	settings, err := s.settings(number, zone, seeds)
	if err != nil {
		return nil, err
	}
	if control {
		own := settings
		own.ListenAddrs.Front, own.ListenAddrs.Readiness = "", ""
		m.units = append(m.units, s.newUnit(m, roleControl, own))
	}
	own := settings
	own.ListenAddrs.Control, own.ListenAddrs.Directory = "", ""
	m.units = append(m.units, s.newUnit(m, roleGateway, own))
	return m, nil
}

func (s *site) newUnit(m *machine, role string, settings platform.Settings) *unit {
	name := fmt.Sprintf("%s-%s", m.name, role)
	folder := filepath.Join(s.options.Folder, name)
	settings.DataDir = filepath.Join(folder, "data")
	return &unit{name: name, role: role, program: s.options.Program, folder: folder, settings: settings}
}

// settings returns the settings of a machine, without those of its roles.
func (s *site) settings(number int, zone string, seeds []string) (platform.Settings, error) {
	var settings platform.Settings
	settings.IP = s.ip(number)
	settings.NodeName = "node-" + settings.IP
	settings.Zone = zone
	settings.Zones = map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}
	settings.PortRange = []int{s.ports[portPeers], s.ports[portPeers] + peerPorts - 1}
	settings.Bootstrap = number < s.plan.Machines
	settings.Seeds = seeds
	settings.Limits.MemoryMB = 284
	settings.Limits.DiskMB = 64
	settings.Limits.LinkMbps = 1000
	settings.FaultTolerance.Machines = 1
	settings.Bounds.GraceS = 8
	settings.Bounds.TTLMaxS = 5
	settings.Bounds.RetryBudgetRatio = 0.2
	settings.Bounds.ColdOvershoot = 1.5
	settings.CloudAPI.Address = s.list.Address()
	settings.ListenAddrs.Front = s.address(number, portFront)
	settings.ListenAddrs.Control = s.address(number, portControl)
	settings.ListenAddrs.Directory = s.address(number, portDirectory)
	settings.ListenAddrs.Readiness = s.address(number, portReadiness)
	var err error
	settings.DialOverrides, err = s.overrides(number)
	return settings, err
}

// overrides opens the links of one machine to all others, and returns them by the address
// that they lead to.
func (s *site) overrides(from int) (map[string]string, error) {
	overrides := make(map[string]string)
	for to := range s.total() {
		for port := range peerPorts {
			if to == from {
				continue
			}
			if to%zoneCount != from%zoneCount {
				s.links.Delay(s.ip(from), s.ip(to), regionDelay)
			}
			target := net.JoinHostPort(s.ip(to), strconv.Itoa(s.ports[portPeers]+port))
			link, err := s.links.Link(relayHost, s.ip(from), s.ip(to), target)
			if err != nil {
				return nil, err
			}
			overrides[target] = link
		}
	}
	return overrides, nil
}

// running returns the machines that are not lost.
func (s *site) running() []*machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var running []*machine
	for _, m := range s.machines {
		if !m.isLost() {
			running = append(running, m)
		}
	}
	return running
}

// controls returns the machines with a control node that are not lost.
func (s *site) controls() []*machine {
	var controls []*machine
	for _, m := range s.running() {
		if m.control() != nil {
			controls = append(controls, m)
		}
	}
	return controls
}

// cut cuts a machine off from others, or heals these links.
func (s *site) cut(m *machine, others []*machine, closed bool) {
	for _, other := range others {
		if other == m {
			continue
		}
		for _, pair := range [][2]string{{m.ip, other.ip}, {other.ip, m.ip}} {
			if closed {
				s.links.Cut(pair[0], pair[1])
			} else {
				s.links.Heal(pair[0], pair[1])
			}
		}
	}
}

// lose ends a machine for good. If its packets are to be lost, links to it stay cut.
func (s *site) lose(m *machine) error {
	if !s.plan.LostRefuse {
		for number := range s.total() {
			if s.ip(number) != m.ip {
				s.links.Cut(m.ip, s.ip(number))
				s.links.Cut(s.ip(number), m.ip)
			}
		}
	}
	return m.kill()
}

// add starts a machine.
func (s *site) add(m *machine) error {
	s.mutex.Lock()
	s.machines = append(s.machines, m)
	s.mutex.Unlock()
	return m.start()
}

// close ends all processes, links and stand-ins.
func (s *site) close() error {
	var ending sync.WaitGroup
	running := s.running()
	errs := make([]error, len(running))
	for i, m := range running {
		ending.Go(func() { errs[i] = m.stop() })
	}
	ending.Wait()
	s.links.Close()
	s.list.Close()
	for _, replica := range s.replicas {
		go replica.Close() // waits for connections that a lost machine left open
	}
	return errors.Join(errs...)
}
