package simulation

import "sync"

// ForEach calls work for every position from 0 to count-1 on the given number of worker
// goroutines, and waits until all calls have returned.
func ForEach(count, workers int, work func(position int)) {
	positions := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for position := range positions {
				work(position)
			}
		})
	}
	for position := range count {
		positions <- position
	}
	close(positions)
	group.Wait()
}

// RunBatch runs count histories with consecutive seeds, beginning with firstSeed. It calls
// visit with each result, one at a time and in no particular order.
func RunBatch(firstSeed uint64, count, workers int, options Options, visit func(Result)) {
	var mutex sync.Mutex
	ForEach(count, workers, func(position int) {
		result := Run(firstSeed+uint64(position), options)
		mutex.Lock()
		defer mutex.Unlock()
		visit(result)
	})
}

// Summary aggregates the results of histories. The zero value is empty.
type Summary struct {
	Histories int
	// Total contains the sum of each counter; its Seed and Violation are not set.
	Total Result
	// Failures lists the results with a violation.
	Failures []Result
}

// Add adds one result.
func (s *Summary) Add(result Result) {
	s.Histories++
	s.Total.Steps += result.Steps
	s.Total.Elections += result.Elections
	s.Total.Committed += result.Committed
	s.Total.Answered += result.Answered
	s.Total.Placements += result.Placements
	if s.Total.Faults == nil {
		s.Total.Faults = make(map[FaultKind]int)
	}
	for kind, count := range result.Faults {
		s.Total.Faults[kind] += count
	}
	if result.Violation != nil {
		s.Failures = append(s.Failures, result)
	}
}
