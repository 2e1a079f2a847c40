package lease

// serialLess reports whether a is older than b as defined in RFC 1982, which allows
// serials to wrap around. Zero means no serial and is older than every serial.
func serialLess(a, b uint32) bool {
	if a == 0 || b == 0 {
		return a == 0 && b != 0
	}
	return int32(a-b) < 0
}

// newerSerial returns the newer of two serials.
func newerSerial(a, b uint32) uint32 {
	if serialLess(a, b) {
		return b
	}
	return a
}
