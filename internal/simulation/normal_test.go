//go:build !race

package simulation

// historyCount is the number of histories to run, huntLimit the number in which a planted
// defect must be caught. With the race detector there are fewer, see race_test.go.
const (
	historyCount = 2000
	huntLimit    = 300
)
