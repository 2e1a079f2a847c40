//go:build !race

package simulation

// historyCount and huntLimit are smaller with the race detector, see race_test.go.
const (
	historyCount = 2000
	huntLimit    = 300
)
