package lease

// serialLess compares two serials as RFC 1982 does, so that they may wrap around. Zero
// stands for none and is less than every serial.
func serialLess(a, b uint32) bool {
	if a == 0 || b == 0 {
		return a == 0 && b != 0
	}
	return int32(a-b) < 0
}

func newerSerial(a, b uint32) uint32 {
	if serialLess(a, b) {
		return b
	}
	return a
}
