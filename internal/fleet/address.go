package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// addressBlock is a block of loopback addresses, 127.second.third.0/24, reserved for one
// fleet. Several fleets can therefore run at the same time, and a restarted process can
// bind its ports again.
type addressBlock struct {
	second, third int
	nextHost      int
	guard         net.Listener
}

const (
	firstSecondByte = 16
	lastSecondByte  = 250
	// reserveAttempts is the number of random blocks tried before reserveBlock fails.
	reserveAttempts = 50
	// guardHost and guardPort are the host number and the port of the listener that marks a
	// block as in use.
	guardHost = 1
	guardPort = 47000
	firstHost = 10
	lastHost  = 254
)

var errNoAddress = errors.New("no free block of loopback addresses")

// reserveBlock reserves a block that no other fleet on this machine uses.
func reserveBlock() (*addressBlock, error) {
	for range reserveAttempts {
		block := &addressBlock{
			second:   firstSecondByte + rand.IntN(lastSecondByte-firstSecondByte),
			third:    rand.IntN(lastSecondByte),
			nextHost: firstHost,
		}
		guard, err := net.Listen("tcp", fmt.Sprintf("%s:%d", block.address(guardHost), guardPort))
		if err == nil {
			block.guard = guard
			return block, nil
		}
	}
	return nil, errNoAddress
}

func (b *addressBlock) address(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.second, b.third, host)
}

// allocate returns an address of the block that has not been allocated before.
func (b *addressBlock) allocate() (string, error) {
	if b.nextHost > lastHost {
		return "", errNoAddress
	}
	b.nextHost++
	return b.address(b.nextHost - 1), nil
}

func (b *addressBlock) release() { b.guard.Close() }
