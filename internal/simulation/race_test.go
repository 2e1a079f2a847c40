//go:build race

package simulation

// historyCount and huntLimit are the limits with the race detector, see normal_test.go.
const (
	historyCount = 200
	huntLimit    = 300
)
