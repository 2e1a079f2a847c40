// Package platform plays the schedules of package soak on real processes of
// deckpulley-platform, with stand-ins for the platform's replicas, list and clients, and
// judges from outside what comes of it.
package platform

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/freeport"
	"github.com/deckpulley/deckpulley/internal/soak"
	standin "github.com/deckpulley/deckpulley/internal/standin/platform"
	"github.com/deckpulley/deckpulley/platform"
)

const (
	// listLag is the time after which a change shows in the list of replicas.
	listLag = 300 * time.Millisecond
	// zoneCount is the number of zones; the last one is a region of its own.
	zoneCount = 3
	// maxGateways is the number of loopback addresses that a run may use.
	maxGateways = 200
)

// Options configure a run.
type Options struct {
	// Program is the path of the deckpulley-platform program.
	Program string
	// Folder gets the settings, logs and data of each process.
	Folder string
	// Race is true if the program was built with the race detector, which takes more memory.
	Race bool
}

// site is one run's processes and stand-ins.
type site struct {
	options  Options
	record   *record
	controls []*unit
	gateways []*unit
	list     *standin.List
	ports    ports

	mutex    sync.Mutex
	replicas []*standin.Replica // those in use, by their number in the schedule
	former   []*standin.Replica // those that left
	added    int
}

// startSite starts all stand-ins and processes of a schedule.
func startSite(schedule soak.Schedule, options Options) (*site, error) {
	if schedule.Gateways > maxGateways {
		return nil, &soak.FieldError{Field: "gateways", Reason: fmt.Sprintf("must be at most %d", maxGateways)}
	}
	s := &site{options: options, record: newRecord()}
	for i := range schedule.Replicas {
		s.replicas = append(s.replicas, s.newReplica(i))
	}
	s.list = standin.NewList(listLag, 0, s.replicas...)
	if err := s.addUnits(schedule); err != nil {
		s.close()
		return nil, err
	}
	for _, u := range s.units() {
		if err := u.begin(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// newReplica starts a replica in the place of a number of the schedule.
func (s *site) newReplica(number int) *standin.Replica {
	s.added++
	return standin.NewReplica(fmt.Sprint("i", s.added), zoneOf(number), "s")
}

func zoneOf(number int) string { return fmt.Sprint("z", number%zoneCount+1) }

// begin starts the process for the first time.
func (u *unit) begin() error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.start()
}

// ports are the ports of all machines, each of which has an address of its own.
type ports struct{ front, control, directory, readiness, peers int }

// findPorts returns ports that are free on the first address of a network.
func findPorts(network string) (ports, error) {
	addresses, err := freeport.Addresses(network+".1", 5)
	if err != nil {
		return ports{}, err
	}
	var numbers []int
	for _, address := range addresses {
		_, text, err := net.SplitHostPort(address)
		if err != nil {
			return ports{}, err
		}
		number, err := strconv.Atoi(text)
		if err != nil {
			return ports{}, err
		}
		numbers = append(numbers, number)
	}
	return ports{numbers[0], numbers[1], numbers[2], numbers[3], numbers[4]}, nil
}

// Numbers of the loopback networks 127.a.b.0/24 that runs use. Each run has a network of its
// own, so that runs at the same time don't take each other's ports.
const (
	firstNetwork    = 64
	networkCount    = 64
	subnetworkCount = 250
)

// loopbackNetwork returns the network of this program's runs, without the last number.
func loopbackNetwork() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d", firstNetwork+id%networkCount, id/networkCount%subnetworkCount)
}

// addUnits makes the processes of all machines.
func (s *site) addUnits(schedule soak.Schedule) error {
	found, err := findPorts(loopbackNetwork())
	if err != nil {
		return err
	}
	s.ports = found
	for number := range schedule.Gateways {
		settings := s.settings(schedule, number)
		if number < schedule.Controls {
			if err := s.addUnit(soak.RoleControl, number, controlSettings(settings)); err != nil {
				return err
			}
		}
		gateway := settings
		gateway.ListenAddrs.Control, gateway.ListenAddrs.Directory = "", ""
		if err := s.addUnit(soak.RoleGateway, number, gateway); err != nil {
			return err
		}
	}
	return nil
}

// controlSettings returns the settings of the control node on a machine.
func controlSettings(settings platform.Settings) platform.Settings {
	settings.ListenAddrs.Front, settings.ListenAddrs.Readiness = "", ""
	return settings
}

// replaceControl ends a control node for good and starts its successor, in the same zone, on a
// machine that the schedule has not.
func (s *site) replaceControl(schedule soak.Schedule, node int) error {
	moved := controlSettings(s.settings(schedule, schedule.Gateways+node))
	moved.Zone = zoneOf(node)
	return s.controls[node].replace(moved)
}

// settings returns the settings of a machine.
func (s *site) settings(schedule soak.Schedule, number int) platform.Settings {
	network, found := loopbackNetwork(), s.ports
	address := func(machine, port int) string { return fmt.Sprintf("%s.%d:%d", network, machine+1, port) }
	var settings platform.Settings
	settings.IP = fmt.Sprintf("%s.%d", network, number+1)
	settings.NodeName = "node-" + settings.IP
	settings.Zone = zoneOf(number)
	settings.Zones = map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}
	settings.PortRange = []int{found.peers, found.peers + 1}
	settings.Bootstrap = true
	settings.FaultTolerance.Machines = 1
	settings.Bounds.GraceS = gracePeriodSeconds
	settings.Limits.MemoryMB = memoryLimitMB
	settings.CloudAPI.Address = s.list.Address()
	settings.ListenAddrs.Front = address(number, found.front)
	settings.ListenAddrs.Control = address(number, found.control)
	settings.ListenAddrs.Directory = address(number, found.directory)
	settings.ListenAddrs.Readiness = address(number, found.readiness)
	for control := range schedule.Controls {
		settings.Seeds = append(settings.Seeds, address(control, found.control))
	}
	return settings
}

func (s *site) addUnit(role soak.Role, number int, settings platform.Settings) error {
	name := fmt.Sprintf("%s-%d", role, number)
	folder := filepath.Join(s.options.Folder, name)
	settings.DataDir = filepath.Join(folder, "data")
	if err := os.MkdirAll(settings.DataDir, 0o700); err != nil {
		return err
	}
	u := &unit{name: name, role: role, settings: settings, folder: folder, program: s.options.Program, record: s.record, limit: memoryLimitMB << 20}
	u.publish()
	if s.options.Race {
		u.limit *= raceMemoryFactor
	}
	if role == soak.RoleControl {
		s.controls = append(s.controls, u)
		return nil
	}
	s.gateways = append(s.gateways, u)
	return nil
}

// units returns all processes, control nodes first.
func (s *site) units() []*unit { return append(append([]*unit{}, s.controls...), s.gateways...) }

// ofRole returns the processes of a role.
func (s *site) ofRole(role soak.Role) []*unit {
	if role == soak.RoleControl {
		return s.controls
	}
	return s.gateways
}

// replace drains a replica, takes it off the list, and adds another one.
func (s *site) replace(number int, drain time.Duration) {
	s.mutex.Lock()
	leaving := s.replicas[number]
	coming := s.newReplica(number)
	s.replicas[number] = coming
	s.former = append(s.former, leaving)
	s.mutex.Unlock()
	s.list.Add(coming)
	s.list.Drain(leaving.ID)
	time.Sleep(drain)
	s.list.Remove(leaving.ID)
}

func (s *site) replica(number int) *standin.Replica {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replicas[number]
}

// runs returns how often all replicas ran each request.
func (s *site) runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := make(map[string]int)
	for _, replica := range append(append([]*standin.Replica{}, s.replicas...), s.former...) {
		for id, count := range replica.Runs() {
			total[id] += count
		}
	}
	return total
}

// close ends all processes, by SIGTERM, and then the stand-ins.
func (s *site) close() {
	var ending sync.WaitGroup
	for _, u := range s.units() {
		ending.Go(u.end)
	}
	ending.Wait()
	s.list.Close()
	for _, replica := range append(append([]*standin.Replica{}, s.replicas...), s.former...) {
		go replica.Close() // waits for connections that a killed process left open
	}
}

// errNotTaken means that no node acknowledged an order in time.
var errNotTaken = errors.New("soak: no node acknowledged the order in time")
