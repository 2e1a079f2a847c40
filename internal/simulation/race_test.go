//go:build race

package simulation

const (
	histories = 200
	quickHunt = 300
)
