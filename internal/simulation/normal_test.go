//go:build !race

package simulation

// histories and quickHunt are smaller with the race detector, see race_test.go.
const (
	histories = 2000
	quickHunt = 300
)
