//go:build race

package simulation

const (
	historyCount = 200
	huntLimit    = 300
)
