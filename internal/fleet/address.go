package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// addressBlock is a block of loopback addresses that one fleet has for itself,
// so that fleets run side by side and a restarted process finds its ports free.
type addressBlock struct {
	second, third int
	next          int
	guard         net.Listener
}

const (
	firstSecondByte = 16
	lastSecondByte  = 250
	blockAttempts   = 50
	// guardHost is the address whose listener marks the block as taken.
	guardHost = 1
	firstHost = 10
	lastHost  = 254
	guardPort = 47000
)

var errNoBlock = errors.New("no free block of loopback addresses")

// reserveBlock finds a block that no other fleet of this machine holds.
func reserveBlock() (*addressBlock, error) {
	for range blockAttempts {
		block := &addressBlock{
			second: firstSecondByte + rand.IntN(lastSecondByte-firstSecondByte),
			third:  rand.IntN(lastSecondByte),
			next:   firstHost,
		}
		guard, err := net.Listen("tcp", fmt.Sprintf("%s:%d", block.address(guardHost), guardPort))
		if err == nil {
			block.guard = guard
			return block, nil
		}
	}
	return nil, errNoBlock
}

func (b *addressBlock) address(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.second, b.third, host)
}

// host returns an address that this block has not given out before.
func (b *addressBlock) host() (string, error) {
	if b.next > lastHost {
		return "", errNoBlock
	}
	b.next++
	return b.address(b.next - 1), nil
}

func (b *addressBlock) release() { b.guard.Close() }
