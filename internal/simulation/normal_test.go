//go:build !race

package simulation

// historyCount is the number of histories to run, huntLimit the number of histories within
// which a mutation must be detected. With the race detector historyCount is lower, see
// race_test.go.
const (
	historyCount = 2000
	huntLimit    = 300
)
