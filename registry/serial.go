package registry

// NextSerial returns the successor of serial modulo 2^32, skipping zero (section 7.11).
func NextSerial(serial uint32) uint32 {
	serial++
	if serial == 0 {
		serial = 1
	}
	return serial
}

// SerialLess reports whether a is lower than b as defined in RFC 1982. Of two serials
// that are 2^31 apart, neither is lower.
func SerialLess(a, b uint32) bool {
	return a != b && int32(b-a) > 0
}
